package org.masticwick.daemon.request;

import org.masticwick.core.process.ErrorCode;

/**
 * Thrown if this host may not start jobs under a ticket because another host holds it.
 * The router handles it by forwarding the request to that host; callers never receive it.
 */
class NotHolderException extends RequestException {

	NotHolderException(String message) {
		super(ErrorCode.OUTCOME_UNKNOWN, message);
	}

}
