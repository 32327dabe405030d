package org.masticwick.fleet.request;

/**
 * A reply to a caller's request.
 *
 * @param status the HTTP status
 * @param body the body, which may be empty
 * @param retryAfterMillis the delay after which the caller may retry, in milliseconds, or
 * 0 to state none
 */
public record CallerReply(int status, byte[] body, long retryAfterMillis) {

	private static final byte[] EMPTY_BODY = {};

	/**
	 * Creates a reply without a body.
	 * @param status the HTTP status
	 * @return the reply
	 */
	public static CallerReply of(int status) {
		return new CallerReply(status, EMPTY_BODY, 0);
	}

	/**
	 * Creates a reply without a body that asks the caller to retry later.
	 * @param status the HTTP status
	 * @param retryAfterMillis the delay after which the caller may retry, in milliseconds
	 * @return the reply
	 */
	public static CallerReply retryLater(int status, long retryAfterMillis) {
		return new CallerReply(status, EMPTY_BODY, retryAfterMillis);
	}

}
