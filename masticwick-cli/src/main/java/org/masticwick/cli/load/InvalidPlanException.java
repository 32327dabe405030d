package org.masticwick.cli.load;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Tells that a plan of experiments or a report can't be read.
 */
class InvalidPlanException extends MasticwickException {

	InvalidPlanException(String message, Throwable cause) {
		super(ErrorCode.INVALID_REQUEST, message, cause);
	}

}
