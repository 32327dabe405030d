package org.masticwick.core.request;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;

import org.masticwick.core.process.EntryHost;

/**
 * Issues the tickets of one incarnation and tells which tickets it issued.
 */
public final class TicketFactory {

	private static final String UNSIGNED = "";

	private final EntryHost issuer;

	private final TicketKey key;

	private final AtomicLong nextSequence;

	/**
	 * Creates the mint of an incarnation.
	 * @param issuer the incarnation that issued or issues the tickets
	 * @param key the key of the incarnation
	 * @param nextSequence the first sequence number that was not issued yet
	 */
	public TicketFactory(EntryHost issuer, TicketKey key, long nextSequence) {
		this.issuer = issuer;
		this.key = key;
		this.nextSequence = new AtomicLong(nextSequence);
	}

	/**
	 * Issues tickets.
	 * @param count how many
	 * @param expiryEpochMillis when they expire, in milliseconds since the epoch
	 * @return the tickets
	 */
	public List<Ticket> issue(int count, long expiryEpochMillis) {
		long first = this.nextSequence.getAndAdd(count);
		return LongStream.range(first, first + count)
			.mapToObj((sequence) -> this.key.sign(new Ticket(this.issuer.domain(), this.issuer.peerAddress(),
					this.issuer.incarnation(), sequence, expiryEpochMillis, UNSIGNED)))
			.toList();
	}

	/**
	 * Checks that this mint issued the ticket.
	 * @param ticket the ticket
	 * @throws InvalidTicketException if it did not
	 */
	public void verify(Ticket ticket) {
		if (!ticket.incarnation().equals(this.issuer.incarnation()) || ticket.sequence() >= nextSequence()
				|| !this.key.verifies(ticket)) {
			throw new InvalidTicketException("The integrity check of the ticket fails");
		}
	}

	/**
	 * Returns the incarnation whose tickets these are.
	 * @return the home
	 */
	public EntryHost issuer() {
		return this.issuer;
	}

	/**
	 * Returns the key of the incarnation, for an heir.
	 * @return the key
	 */
	public TicketKey key() {
		return this.key;
	}

	/**
	 * Returns the first sequence number that was not issued yet.
	 * @return the number
	 */
	public long nextSequence() {
		return this.nextSequence.get();
	}

}
