package org.masticwick.cli.load;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Thrown if an experiment plan or a JSON report can't be read or is invalid.
 */
class InvalidPlanException extends MasticwickException {

	InvalidPlanException(String message, Throwable cause) {
		super(ErrorCode.INVALID_REQUEST, message, cause);
	}

}
