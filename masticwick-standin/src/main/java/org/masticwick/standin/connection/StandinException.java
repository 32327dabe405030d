package org.masticwick.standin.connection;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Thrown when a stand-in can't perform a request or can't be started.
 */
public class StandinException extends MasticwickException {

	/**
	 * Creates an exception without a cause.
	 * @param errorCode the error code
	 * @param message the details for a human reader
	 */
	public StandinException(ErrorCode errorCode, String message) {
		super(errorCode, message);
	}

	/**
	 * Creates an exception with the exception that caused it.
	 * @param errorCode the error code
	 * @param message the details for a human reader
	 * @param cause the cause
	 */
	public StandinException(ErrorCode errorCode, String message, Throwable cause) {
		super(errorCode, message, cause);
	}

}
