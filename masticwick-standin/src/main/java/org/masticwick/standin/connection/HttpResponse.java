package org.masticwick.standin.connection;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One HTTP response of a stand-in, well-formed or with a fault.
 *
 * @param status the HTTP status
 * @param headers the headers without {@code Content-Length}
 * @param body the body
 * @param declaredLengthBytes the value of {@code Content-Length}, which differs from the
 * length of the body if the response simulates a fault
 * @param copyCount the number of times that the response is written
 * @param closesConnection whether the connection is closed after the response
 */
public record HttpResponse(int status, Map<String, String> headers, byte[] body, int declaredLengthBytes, int copyCount,
		boolean closesConnection) {

	private static final int LENGTH_DIFFERENCE_BYTES = 16;

	private static final byte[] NO_BODY = {};

	/**
	 * Creates a response without a body.
	 * @param status the HTTP status
	 * @return the response
	 */
	public static HttpResponse of(int status) {
		return of(status, NO_BODY);
	}

	/**
	 * Creates a response with a body.
	 * @param status the HTTP status
	 * @param body the body
	 * @return the response
	 */
	public static HttpResponse of(int status, byte[] body) {
		return new HttpResponse(status, Map.of(), body, body.length, 1, false);
	}

	/**
	 * Creates a response with a JSON body.
	 * @param status the HTTP status
	 * @param value the value to write as JSON, see {@link Json#write}
	 * @return the response
	 */
	public static HttpResponse json(int status, Object value) {
		return of(status, Json.write(value)).withHeader("Content-Type", "application/json");
	}

	/**
	 * Returns a copy with a header added or replaced.
	 * @param name the name of the header
	 * @param value the value of the header
	 * @return the changed copy
	 */
	public HttpResponse withHeader(String name, String value) {
		Map<String, String> changedHeaders = new LinkedHashMap<>(this.headers);
		changedHeaders.put(name, value);
		return new HttpResponse(this.status, changedHeaders, this.body, this.declaredLengthBytes, this.copyCount,
				this.closesConnection);
	}

	/**
	 * Returns a copy that declares more bytes than its body has and closes the connection
	 * after the body.
	 * @return the changed copy
	 */
	public HttpResponse truncated() {
		return new HttpResponse(this.status, this.headers, this.body, this.body.length + LENGTH_DIFFERENCE_BYTES,
				this.copyCount, true);
	}

	/**
	 * Returns a copy whose body has more bytes than it declares. The surplus bytes are
	 * zero.
	 * @return the changed copy
	 */
	public HttpResponse overlong() {
		byte[] longerBody = new byte[this.body.length + LENGTH_DIFFERENCE_BYTES];
		System.arraycopy(this.body, 0, longerBody, 0, this.body.length);
		return new HttpResponse(this.status, this.headers, longerBody, this.body.length, this.copyCount,
				this.closesConnection);
	}

	/**
	 * Returns a copy that is written twice.
	 * @return the changed copy
	 */
	public HttpResponse doubled() {
		return new HttpResponse(this.status, this.headers, this.body, this.declaredLengthBytes, 2,
				this.closesConnection);
	}

}
