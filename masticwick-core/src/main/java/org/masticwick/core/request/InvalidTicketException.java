package org.masticwick.core.request;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Thrown when a text is not a ticket or the integrity check of a ticket fails.
 */
public class InvalidTicketException extends MasticwickException {

	/**
	 * Creates the exception.
	 * @param message the reason why the ticket is invalid
	 */
	public InvalidTicketException(String message) {
		this(message, null);
	}

	/**
	 * Creates the exception with its cause.
	 * @param message the reason why the ticket is invalid
	 * @param cause the parse error
	 */
	public InvalidTicketException(String message, Throwable cause) {
		super(ErrorCode.INVALID_TICKET, message, cause);
	}

}
