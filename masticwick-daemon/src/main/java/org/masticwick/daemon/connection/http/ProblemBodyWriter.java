package org.masticwick.daemon.connection.http;

import org.masticwick.core.process.ErrorCode;

/**
 * Writes the bodies of error responses.
 */
@FunctionalInterface
public interface ProblemBodyWriter {

	/**
	 * Writes the body of one error response.
	 * @param code the error code
	 * @param detail the explanation for people
	 * @return problem details in JSON
	 */
	byte[] write(ErrorCode code, String detail);

}
