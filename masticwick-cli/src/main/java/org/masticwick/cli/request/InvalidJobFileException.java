package org.masticwick.cli.request;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Thrown when a job file can't be read or holds no valid job.
 */
public class InvalidJobFileException extends MasticwickException {

	/**
	 * Creates an exception.
	 * @param message the file and what is wrong with it
	 * @param cause the I/O or parse error, or {@code null}
	 */
	public InvalidJobFileException(String message, Throwable cause) {
		super(ErrorCode.INVALID_REQUEST, message, cause);
	}

}
