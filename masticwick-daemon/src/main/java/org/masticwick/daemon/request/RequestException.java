package org.masticwick.daemon.request;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Thrown if a request is invalid or refused; its code and message are sent to the caller.
 */
public class RequestException extends MasticwickException {

	/**
	 * Creates the error.
	 * @param errorCode the code for the caller
	 * @param message the explanation for the caller
	 */
	public RequestException(ErrorCode errorCode, String message) {
		super(errorCode, message);
	}

	/**
	 * Creates the error with its cause.
	 * @param errorCode the code for the caller
	 * @param message the explanation for the caller
	 * @param cause the underlying exception
	 */
	public RequestException(ErrorCode errorCode, String message, Throwable cause) {
		super(errorCode, message, cause);
	}

}
