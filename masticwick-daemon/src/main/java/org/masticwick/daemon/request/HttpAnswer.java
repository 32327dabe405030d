package org.masticwick.daemon.request;

/**
 * Represents a complete HTTP answer to a caller, which can be sent or stored.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param body the body
 * @param retryAfterMillis the delay after which the caller may retry, in milliseconds;
 * negative if the caller is not advised to retry
 */
public record HttpAnswer(int status, String contentType, byte[] body, long retryAfterMillis) {

	/** The value of {@code retryAfterMillis} if the caller is not advised to retry. */
	public static final long NO_RETRY = -1;

	/** The media type of JSON. */
	public static final String JSON = "application/json";

	/** The media type of problem details. */
	public static final String PROBLEM_JSON = "application/problem+json";

	/**
	 * Returns an answer in JSON.
	 * @param status the HTTP status
	 * @param body the JSON text
	 * @return the answer
	 */
	public static HttpAnswer json(int status, byte[] body) {
		return new HttpAnswer(status, JSON, body, NO_RETRY);
	}

}
