package org.masticwick.standin.connection;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Tells that a stand-in can't do what was asked.
 */
public class StandinException extends MasticwickException {

	/**
	 * Creates an error without a cause.
	 * @param errorCode what went wrong
	 * @param message the details for people
	 */
	public StandinException(ErrorCode errorCode, String message) {
		super(errorCode, message);
	}

	/**
	 * Creates an error that turns one from the layer below.
	 * @param errorCode what went wrong
	 * @param message the details for people
	 * @param cause the error from below
	 */
	public StandinException(ErrorCode errorCode, String message, Throwable cause) {
		super(errorCode, message, cause);
	}

}
