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
 * @param closing whether the connection is closed after the answer
 */
public record HttpAnswer(int status, Map<String, String> headers, byte[] body, int declaredLengthBytes, int copyCount,
		boolean closing) {

	private static final int FAULT_LENGTH_BYTES = 16;

	private static final byte[] NO_BODY = {};

	/**
	 * Creates an answer without a body.
	 * @param status the HTTP status
	 * @return the answer
	 */
	public static HttpAnswer of(int status) {
		return of(status, NO_BODY);
	}

	/**
	 * Creates an answer with a body.
	 * @param status the HTTP status
	 * @param body the body
	 * @return the answer
	 */
	public static HttpAnswer of(int status, byte[] body) {
		return new HttpAnswer(status, Map.of(), body, body.length, 1, false);
	}

	/**
	 * Creates an answer with a JSON body.
	 * @param status the HTTP status
	 * @param value what the body tells
	 * @return the answer
	 */
	public static HttpAnswer json(int status, Object value) {
		return of(status, Json.write(value)).withHeader("Content-Type", "application/json");
	}

	/**
	 * Adds or replaces a header.
	 * @param name the name of the header
	 * @param value the value of the header
	 * @return the changed answer
	 */
	public HttpAnswer withHeader(String name, String value) {
		Map<String, String> changed = new LinkedHashMap<>(this.headers);
		changed.put(name, value);
		return new HttpAnswer(this.status, changed, this.body, this.declaredLengthBytes, this.copyCount, this.closing);
	}

	/**
	 * Declares more bytes than the body has, and closes the connection after them.
	 * @return the changed answer
	 */
	public HttpAnswer truncated() {
		return new HttpAnswer(this.status, this.headers, this.body, this.body.length + FAULT_LENGTH_BYTES,
				this.copyCount, true);
	}

	/**
	 * Sends more bytes than the answer declares.
	 * @return the changed answer
	 */
	public HttpAnswer overlong() {
		byte[] longer = new byte[this.body.length + FAULT_LENGTH_BYTES];
		System.arraycopy(this.body, 0, longer, 0, this.body.length);
		return new HttpAnswer(this.status, this.headers, longer, this.body.length, this.copyCount, this.closing);
	}

	/**
	 * Writes the answer twice.
	 * @return the changed answer
	 */
	public HttpAnswer doubled() {
		return new HttpAnswer(this.status, this.headers, this.body, this.declaredLengthBytes, 2, this.closing);
	}

}
