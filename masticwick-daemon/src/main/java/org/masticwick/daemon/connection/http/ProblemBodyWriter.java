package org.masticwick.daemon.connection.http;

import org.masticwick.core.process.ErrorCode;

/**
 * Writes the body of an answer that is an error.
 */
@FunctionalInterface
public interface ProblemBodyWriter {

	/**
	 * Writes the body.
	 * @param code the code
	 * @param detail the details for people
	 * @return problem details in JSON
	 */
	byte[] write(ErrorCode code, String detail);

}
