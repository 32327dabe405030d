package org.masticwick.fleet.version;

/**
 * Thrown when received bytes, such as a published version, an entry of an endpoint or the
 * body of a request, can't be parsed.
 */
public final class InvalidRecordException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what is invalid
	 */
	public InvalidRecordException(String message) {
		super(message);
	}

}
