package org.masticwick.core.request;

import java.util.regex.Pattern;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;

/**
 * Is the id of a job, issued before the job is submitted. It names its home: the one run
 * of an entry host that may start tasks of the job.
 *
 * @param domain the failure domain of the home
 * @param issuerAddress the peer address of the home
 * @param incarnation the run of the process that issued the ticket
 * @param sequence the number of the ticket within the incarnation, from 0
 * @param expiryEpochMillis when the ticket expires by the clock of its home, in
 * milliseconds since the epoch
 * @param mac the integrity check, which only the home can verify
 */
public record Ticket(String domain, HostAddress issuerAddress, Incarnation incarnation, long sequence,
		long expiryEpochMillis, String mac) {

	/** How long the text of a ticket is at most, in characters. */
	public static final int MAX_LENGTH = 256;

	private static final int RADIX = 36;

	private static final int PART_COUNT = 6;

	private static final String SEPARATOR = "~";

	private static final Pattern FAILURE_DOMAIN = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

	private static final Pattern MAC = Pattern.compile("[A-Za-z0-9_-]{16}");

	/**
	 * Reads the form that {@link #toString()} writes.
	 * @param text the text
	 * @return the ticket
	 * @throws InvalidTicketException if the text is not a ticket
	 */
	public static Ticket parse(String text) {
		if (text.length() > MAX_LENGTH) {
			throw new InvalidTicketException("The ticket is longer than " + MAX_LENGTH + " characters");
		}
		String[] parts = text.split(SEPARATOR, -1);
		if (parts.length != PART_COUNT || !FAILURE_DOMAIN.matcher(parts[0]).matches()
				|| !MAC.matcher(parts[5]).matches()) {
			throw new InvalidTicketException("The text is not a ticket");
		}
		try {
			Ticket ticket = new Ticket(parts[0], HostAddress.parse(parts[1].replace('_', ':')),
					Incarnation.parse(parts[2]), Long.parseLong(parts[3], RADIX), Long.parseLong(parts[4], RADIX),
					parts[5]);
			return ticket.requireCanonical(text);
		}
		catch (IllegalArgumentException ex) {
			throw new InvalidTicketException("The text is not a ticket", ex);
		}
	}

	private Ticket requireCanonical(String ticketText) {
		if (this.sequence < 0 || !toString().equals(ticketText)) {
			throw new InvalidTicketException("The text is not a ticket in its one valid form");
		}
		return this;
	}

	/**
	 * Returns the part of the text that the integrity check covers.
	 * @return the text without the check
	 */
	String signedText() {
		return String.join(SEPARATOR, this.domain, this.issuerAddress.ip() + "_" + this.issuerAddress.port(),
				this.incarnation.toString(), Long.toString(this.sequence, RADIX),
				Long.toString(this.expiryEpochMillis, RADIX));
	}

	@Override
	public String toString() {
		return signedText() + SEPARATOR + this.mac;
	}

}
