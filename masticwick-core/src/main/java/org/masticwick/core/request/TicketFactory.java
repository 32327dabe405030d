package org.masticwick.core.request;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;

import org.masticwick.core.process.EntryHost;

/**
 * Issues and verifies the tickets of one incarnation.
 */
public final class TicketFactory {

	private static final String UNSIGNED = "";

	private final EntryHost issuer;

	private final TicketKey key;

	private final AtomicLong nextSequence;

	/**
	 * Creates the ticket factory of an incarnation.
	 * @param issuer the incarnation that issues the tickets, or issued them before its
	 * successor took ownership
	 * @param key the key that signs the tickets of the incarnation
	 * @param nextSequence the first sequence number that has not been issued
	 */
	public TicketFactory(EntryHost issuer, TicketKey key, long nextSequence) {
		this.issuer = issuer;
		this.key = key;
		this.nextSequence = new AtomicLong(nextSequence);
	}

	/**
	 * Issues tickets.
	 * @param count the number of tickets
	 * @param expiryEpochMillis the time at which the tickets expire, in milliseconds
	 * since the epoch
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
	 * Checks that this factory issued the ticket.
	 * @param ticket the ticket
	 * @throws InvalidTicketException if the ticket has another issuer, was not issued yet
	 * or was modified
	 */
	public void verify(Ticket ticket) {
		if (!ticket.incarnation().equals(this.issuer.incarnation()) || ticket.sequence() >= nextSequence()
				|| !this.key.verifies(ticket)) {
			throw new InvalidTicketException("The ticket was modified or not issued by this incarnation");
		}
	}

	/**
	 * Returns the incarnation that issues the tickets.
	 * @return the issuer
	 */
	public EntryHost issuer() {
		return this.issuer;
	}

	/**
	 * Returns the key of the incarnation, for a successor.
	 * @return the key
	 */
	public TicketKey key() {
		return this.key;
	}

	/**
	 * Returns the first sequence number that has not been issued.
	 * @return the number
	 */
	public long nextSequence() {
		return this.nextSequence.get();
	}

}
