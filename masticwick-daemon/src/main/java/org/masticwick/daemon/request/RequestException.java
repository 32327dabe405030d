package org.masticwick.daemon.request;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Tells a caller what is wrong with its request.
 */
public class RequestException extends MasticwickException {

	/**
	 * Creates the error.
	 * @param errorCode what is wrong
	 * @param message the details
	 */
	public RequestException(ErrorCode errorCode, String message) {
		super(errorCode, message);
	}

	/**
	 * Creates the error with its cause.
	 * @param errorCode what is wrong
	 * @param message the details
	 * @param cause the error from below
	 */
	public RequestException(ErrorCode errorCode, String message, Throwable cause) {
		super(errorCode, message, cause);
	}

}
