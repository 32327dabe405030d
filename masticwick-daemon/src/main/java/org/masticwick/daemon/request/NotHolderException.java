package org.masticwick.daemon.request;

import org.masticwick.core.process.ErrorCode;

/**
 * Tells that this process does not hold the right to start jobs under a ticket. It is
 * answered by going on to the host that holds it, never told to a caller.
 */
class NotHolderException extends RequestException {

	NotHolderException(String message) {
		super(ErrorCode.OUTCOME_UNKNOWN, message);
	}

}
