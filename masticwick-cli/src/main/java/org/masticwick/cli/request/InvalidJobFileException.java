package org.masticwick.cli.request;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Tells that a job file can't be read.
 */
public class InvalidJobFileException extends MasticwickException {

	/**
	 * Creates an error.
	 * @param message the file and what is wrong with it
	 * @param cause the error from below, or {@code null}
	 */
	public InvalidJobFileException(String message, Throwable cause) {
		super(ErrorCode.INVALID_REQUEST, message, cause);
	}

}
