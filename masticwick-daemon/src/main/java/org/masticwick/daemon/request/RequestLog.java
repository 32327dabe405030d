package org.masticwick.daemon.request;

import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;

import org.masticwick.core.request.Ticket;

/**
 * Logs the events of a request's life, one line each, at debug. Tickets are shown without
 * their integrity check, since whoever knows a whole ticket may cancel its job.
 */
public final class RequestLog {

	private static final String TICKET = "ticket";

	private static final char CHECK_SEPARATOR = '~';

	private RequestLog() {
	}

	/**
	 * Begins the line of an event. It costs next to nothing while debug is off.
	 * @param logger where to log
	 * @param ticket the ticket of the job
	 * @return the line, with the ticket as a field
	 */
	static LoggingEventBuilder event(Logger logger, Ticket ticket) {
		return logger.atDebug().addKeyValue(TICKET, () -> withoutIntegrityCheck(ticket.toString()));
	}

	/**
	 * Begins the line of an event.
	 * @param logger where to log
	 * @param ticket the ticket of the job as text
	 * @return the line, with the ticket as a field
	 */
	static LoggingEventBuilder event(Logger logger, String ticket) {
		return logger.atDebug().addKeyValue(TICKET, () -> withoutIntegrityCheck(ticket));
	}

	/**
	 * Leaves out the integrity check of a ticket.
	 * @param ticket the ticket as text
	 * @return what can be shown to anyone
	 */
	public static String withoutIntegrityCheck(String ticket) {
		int end = ticket.lastIndexOf(CHECK_SEPARATOR);
		return (end >= 0) ? ticket.substring(0, end) : ticket;
	}

}
