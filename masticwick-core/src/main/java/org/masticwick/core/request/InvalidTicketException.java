package org.masticwick.core.request;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Tells that a text is not a ticket or that its integrity check fails.
 */
public class InvalidTicketException extends MasticwickException {

	/**
	 * Creates the error.
	 * @param message the details
	 */
	public InvalidTicketException(String message) {
		this(message, null);
	}

	/**
	 * Creates the error with its cause.
	 * @param message the details
	 * @param cause what was wrong with the text
	 */
	public InvalidTicketException(String message, Throwable cause) {
		super(ErrorCode.INVALID_TICKET, message, cause);
	}

}
