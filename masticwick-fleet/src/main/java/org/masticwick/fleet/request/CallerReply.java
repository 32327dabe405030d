package org.masticwick.fleet.request;

/**
 * The answer to a caller.
 *
 * @param status the HTTP status
 * @param body the body, which may be empty
 * @param retryAfterMillis when to come back, in milliseconds, or 0
 */
public record CallerReply(int status, byte[] body, long retryAfterMillis) {

	private static final byte[] NOTHING = {};

	/**
	 * Creates an answer without a body.
	 * @param status the HTTP status
	 * @return the answer
	 */
	public static CallerReply of(int status) {
		return new CallerReply(status, NOTHING, 0);
	}

	/**
	 * Creates an answer that asks to come back.
	 * @param status the HTTP status
	 * @param retryAfterMillis when to come back, in milliseconds
	 * @return the answer
	 */
	public static CallerReply retryLater(int status, long retryAfterMillis) {
		return new CallerReply(status, NOTHING, retryAfterMillis);
	}

}
