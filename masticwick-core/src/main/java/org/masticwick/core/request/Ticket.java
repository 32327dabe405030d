package org.masticwick.core.request;

import java.util.regex.Pattern;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;

/**
 * The id of a job, issued before the job is submitted. It names its issuer: the one
 * incarnation of an entry host that may start tasks of the job.
 *
 * @param domain the failure domain of the issuer
 * @param issuerAddress the peer address of the issuer
 * @param incarnation the incarnation of the issuer
 * @param sequence the number of the ticket within the incarnation, from 0
 * @param expiryEpochMillis the time at which the ticket expires by the clock of its
 * issuer, in milliseconds since the epoch
 * @param mac the message authentication code (MAC), which only a holder of the issuer's
 * key can verify
 */
public record Ticket(String domain, HostAddress issuerAddress, Incarnation incarnation, long sequence,
		long expiryEpochMillis, String mac) {

	/** The maximum length of the text of a ticket, in characters. */
	public static final int MAX_LENGTH = 256;

	private static final int RADIX = 36;

	private static final int PART_COUNT = 6;

	private static final String SEPARATOR = "~";

	private static final Pattern FAILURE_DOMAIN = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

	private static final Pattern MAC = Pattern.compile("[A-Za-z0-9_-]{16}");

	/**
	 * Parses the text that {@link #toString()} returns.
	 * @param text the text
	 * @return the ticket
	 * @throws InvalidTicketException if the text is not a ticket in its canonical form
	 */
	public static Ticket parse(String text) {
		if (text.length() > MAX_LENGTH) {
			throw new InvalidTicketException("The ticket is longer than " + MAX_LENGTH + " characters");
		}
		String[] parts = text.split(SEPARATOR, -1);
		if (parts.length != PART_COUNT || !FAILURE_DOMAIN.matcher(parts[0]).matches()
				|| !MAC.matcher(parts[5]).matches()) {
			throw new InvalidTicketException("The text does not have the format of a ticket");
		}
		try {
			Ticket ticket = new Ticket(parts[0], HostAddress.parse(parts[1].replace('_', ':')),
					Incarnation.parse(parts[2]), Long.parseLong(parts[3], RADIX), Long.parseLong(parts[4], RADIX),
					parts[5]);
			return ticket.requireCanonical(text);
		}
		catch (IllegalArgumentException ex) {
			throw new InvalidTicketException("The text does not have the format of a ticket", ex);
		}
	}

	private Ticket requireCanonical(String ticketText) {
		if (this.sequence < 0 || !toString().equals(ticketText)) {
			throw new InvalidTicketException("The text is not a ticket in canonical form");
		}
		return this;
	}

	/**
	 * Returns the part of the text that the MAC covers.
	 * @return the text without the MAC
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
