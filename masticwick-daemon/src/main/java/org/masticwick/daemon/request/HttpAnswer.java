package org.masticwick.daemon.request;

/**
 * Is a whole answer to a caller, ready to be sent or remembered.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param body the body
 * @param retryAfterMillis when to come back, in milliseconds from now; negative if coming
 * back makes no sense
 */
public record HttpAnswer(int status, String contentType, byte[] body, long retryAfterMillis) {

	/** Stands for no advice on when to come back. */
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
