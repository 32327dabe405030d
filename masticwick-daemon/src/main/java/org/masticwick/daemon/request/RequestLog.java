package org.masticwick.daemon.request;

import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;

import org.masticwick.core.request.Ticket;

/**
 * Logs the events of a request at debug level, one line for each event. Tickets are
 * logged without their integrity check, because anyone who has the complete ticket can
 * cancel its job.
 */
public final class RequestLog {

	private static final String TICKET = "ticket";

	private static final char INTEGRITY_CHECK_SEPARATOR = '~';

	private RequestLog() {
	}

	/**
	 * Starts the log line of an event. While debug logging is disabled, the ticket is not
	 * formatted.
	 * @param logger the logger that writes the line
	 * @param ticket the ticket of the job
	 * @return the line, with the ticket as a field
	 */
	static LoggingEventBuilder event(Logger logger, Ticket ticket) {
		return logger.atDebug().addKeyValue(TICKET, () -> withoutIntegrityCheck(ticket.toString()));
	}

	/**
	 * Starts the log line of an event.
	 * @param logger the logger that writes the line
	 * @param ticket the ticket of the job as text
	 * @return the line, with the ticket as a field
	 */
	static LoggingEventBuilder event(Logger logger, String ticket) {
		return logger.atDebug().addKeyValue(TICKET, () -> withoutIntegrityCheck(ticket));
	}

	/**
	 * Returns a ticket without its integrity check.
	 * @param ticket the ticket as text
	 * @return the text, which is safe to log or display
	 */
	public static String withoutIntegrityCheck(String ticket) {
		int end = ticket.lastIndexOf(INTEGRITY_CHECK_SEPARATOR);
		return (end >= 0) ? ticket.substring(0, end) : ticket;
	}

}
