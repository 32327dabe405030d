package org.masticwick.fleet.version;

/**
 * Thrown when received bytes, such as a published version, an entry of an endpoint or the
 * body of a request, can't be parsed.
 */
public final class InvalidRecordException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/** Limits the length of log events, as messages may quote the received bytes. */
	private static final int MAX_MESSAGE_CHARS = 200;

	/**
	 * Creates the exception.
	 * @param message what is invalid; shortened if it is long
	 */
	public InvalidRecordException(String message) {
		super(shorten(message));
	}

	private static String shorten(String message) {
		boolean isLong = message != null && message.length() > MAX_MESSAGE_CHARS;
		return isLong ? message.substring(0, MAX_MESSAGE_CHARS) + "..." : message;
	}

}
