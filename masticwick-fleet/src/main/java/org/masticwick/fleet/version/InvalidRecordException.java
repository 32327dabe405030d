package org.masticwick.fleet.version;

/**
 * Thrown for published bytes that can't be read.
 */
public final class InvalidRecordException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what is wrong
	 */
	public InvalidRecordException(String message) {
		super(message);
	}

}
