package org.masticwick.standin.connection;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Is one answer of a stand-in, well-formed or with a fault.
 *
 * @param status the HTTP status
 * @param headers the headers besides {@code Content-Length}
 * @param body the body
 * @param declaredLengthBytes the value of {@code Content-Length}
 * @param copyCount how many times the answer is written
 * @param closesConnection whether the connection is closed after the answer
 */
public record HttpResponse(int status, Map<String, String> headers, byte[] body, int declaredLengthBytes, int copyCount,
		boolean closesConnection) {

	private static final int FAULT_LENGTH_BYTES = 16;

	private static final byte[] NO_BODY = {};

	/**
	 * Creates an answer without a body.
	 * @param status the HTTP status
	 * @return the answer
	 */
	public static HttpResponse of(int status) {
		return of(status, NO_BODY);
	}

	/**
	 * Creates an answer with a body.
	 * @param status the HTTP status
	 * @param body the body
	 * @return the answer
	 */
	public static HttpResponse of(int status, byte[] body) {
		return new HttpResponse(status, Map.of(), body, body.length, 1, false);
	}

	/**
	 * Creates an answer with a JSON body.
	 * @param status the HTTP status
	 * @param value what the body tells
	 * @return the answer
	 */
	public static HttpResponse json(int status, Object value) {
		return of(status, Json.write(value)).withHeader("Content-Type", "application/json");
	}

	/**
	 * Adds or replaces a header.
	 * @param name the name of the header
	 * @param value the value of the header
	 * @return the changed answer
	 */
	public HttpResponse withHeader(String name, String value) {
		Map<String, String> changed = new LinkedHashMap<>(this.headers);
		changed.put(name, value);
		return new HttpResponse(this.status, changed, this.body, this.declaredLengthBytes, this.copyCount,
				this.closesConnection);
	}

	/**
	 * Declares more bytes than the body has, and closes the connection after them.
	 * @return the changed answer
	 */
	public HttpResponse truncated() {
		return new HttpResponse(this.status, this.headers, this.body, this.body.length + FAULT_LENGTH_BYTES,
				this.copyCount, true);
	}

	/**
	 * Sends more bytes than the answer declares.
	 * @return the changed answer
	 */
	public HttpResponse overlong() {
		byte[] longer = new byte[this.body.length + FAULT_LENGTH_BYTES];
		System.arraycopy(this.body, 0, longer, 0, this.body.length);
		return new HttpResponse(this.status, this.headers, longer, this.body.length, this.copyCount,
				this.closesConnection);
	}

	/**
	 * Writes the answer twice.
	 * @return the changed answer
	 */
	public HttpResponse doubled() {
		return new HttpResponse(this.status, this.headers, this.body, this.declaredLengthBytes, 2,
				this.closesConnection);
	}

}
