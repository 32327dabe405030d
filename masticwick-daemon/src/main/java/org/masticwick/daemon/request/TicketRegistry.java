package org.masticwick.daemon.request;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReadWriteLock;
import java.util.concurrent.locks.ReentrantReadWriteLock;
import java.util.function.BiConsumer;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.Ticket;
import org.masticwick.core.request.TicketFactory;

/**
 * Stores the entries of the tickets that one incarnation of an entry host issued, until
 * the tickets expire. The host that holds the registry alone may start jobs under these
 * tickets. A host hands a registry over to a successor at most once.
 */
public final class TicketRegistry {

	private final TicketFactory ticketFactory;

	private final TimeSource time;

	private final long issuerClockAheadMillis;

	private final Map<Long, JobEntry> entries = new ConcurrentHashMap<>();

	private final AtomicLong rememberedBytes = new AtomicLong();

	private final ReadWriteLock holderLock = new ReentrantReadWriteLock();

	private volatile boolean handedOver;

	private final AtomicLong lastExpiryEpochMillis = new AtomicLong();

	/**
	 * Creates the registry of an incarnation.
	 * @param ticketFactory creates and verifies the tickets of the incarnation
	 * @param time the clock of this host
	 * @param issuerClockAheadMillis how far the clock of the issuer is ahead of the clock
	 * of this host, in milliseconds
	 */
	public TicketRegistry(TicketFactory ticketFactory, TimeSource time, long issuerClockAheadMillis) {
		this.ticketFactory = ticketFactory;
		this.time = time;
		this.issuerClockAheadMillis = issuerClockAheadMillis;
	}

	/**
	 * Issues tickets of this registry.
	 * @param count the number of tickets
	 * @param expiryEpochMillis when the tickets expire, in milliseconds since the epoch
	 * @return the tickets
	 * @throws NotHolderException if the registry was handed over, because the successor
	 * would not know of tickets issued afterwards
	 */
	List<Ticket> issue(int count, long expiryEpochMillis) {
		this.holderLock.readLock().lock();
		try {
			if (this.handedOver) {
				throw new NotHolderException("This host is stopping and issues no more tickets");
			}
			recordExpiry(expiryEpochMillis);
			return this.ticketFactory.issue(count, expiryEpochMillis);
		}
		finally {
			this.holderLock.readLock().unlock();
		}
	}

	/**
	 * Returns the entry of a ticket. Creates the entry if there is none and this host
	 * holds the registry.
	 * @param ticket a verified ticket
	 * @param digest the digest of the submitted body
	 * @return the entry, and whether this call created it; empty if the registry was
	 * handed over and has no entry for the ticket
	 * @throws RequestException if the ticket has expired
	 */
	Optional<Claim> claim(Ticket ticket, byte[] digest) {
		requireUnexpired(ticket);
		this.holderLock.readLock().lock();
		try {
			if (this.handedOver) {
				return Optional.ofNullable(this.entries.get(ticket.sequence())).map((entry) -> new Claim(entry, false));
			}
			JobEntry newEntry = new JobEntry(digest, ticket.expiryEpochMillis());
			JobEntry existingEntry = this.entries.putIfAbsent(ticket.sequence(), newEntry);
			if (existingEntry != null) {
				return Optional.of(new Claim(existingEntry, false));
			}
			requireStillUnexpired(ticket, newEntry);
			countBytesOnceAnswered(newEntry);
			return Optional.of(new Claim(newEntry, true));
		}
		finally {
			this.holderLock.readLock().unlock();
		}
	}

	/**
	 * Returns the entry of a submitted ticket.
	 * @param ticket a verified ticket
	 * @return the entry
	 * @throws RequestException if the ticket has expired or was not submitted
	 */
	JobEntry find(Ticket ticket) {
		requireUnexpired(ticket);
		JobEntry entry = this.entries.get(ticket.sequence());
		if (entry == null) {
			throw new RequestException(ErrorCode.TICKET_UNUSED, "No job was submitted under the ticket");
		}
		return entry;
	}

	/**
	 * Returns whether this host can answer requests for a ticket.
	 * @param ticket the ticket
	 * @return {@code true} if this host holds the registry or has an entry for the ticket
	 */
	boolean canAnswerFor(Ticket ticket) {
		return held() || this.entries.containsKey(ticket.sequence());
	}

	// The entry of an earlier submission may have been removed after the first check of
	// the expiry; a process can be paused there.
	private void requireStillUnexpired(Ticket ticket, JobEntry newEntry) {
		try {
			requireUnexpired(ticket);
		}
		catch (RequestException ex) {
			this.entries.remove(ticket.sequence(), newEntry);
			throw ex;
		}
	}

	private void requireUnexpired(Ticket ticket) {
		if (ticket.expiryEpochMillis() <= issuerEpochMillis()) {
			throw new RequestException(ErrorCode.OUTCOME_FORGOTTEN,
					"The ticket has expired, and the outcome of its job is no longer stored");
		}
	}

	/**
	 * Adds an entry that was received from the previous holder of the registry.
	 * @param sequence the sequence number of the ticket
	 * @param entry the entry
	 */
	void restore(long sequence, JobEntry entry) {
		this.entries.put(sequence, entry);
		countBytesOnceAnswered(entry);
		recordExpiry(entry.expiryEpochMillis());
	}

	/**
	 * Extends the time until which the registry must be kept.
	 * @param expiryEpochMillis the expiry of an issued ticket, in milliseconds since the
	 * epoch
	 */
	void recordExpiry(long expiryEpochMillis) {
		this.lastExpiryEpochMillis.accumulateAndGet(expiryEpochMillis, Math::max);
	}

	/**
	 * Removes the entries of expired tickets whose jobs have been answered.
	 */
	void removeExpired() {
		long issuerNowEpochMillis = issuerEpochMillis();
		this.entries.values().removeIf((entry) -> {
			boolean removable = entry.expiryEpochMillis() <= issuerNowEpochMillis && entry.answer().isDone();
			if (removable) {
				this.rememberedBytes.addAndGet(-entry.estimatedBytes());
			}
			return removable;
		});
	}

	private void countBytesOnceAnswered(JobEntry entry) {
		entry.answer().thenRun(() -> this.rememberedBytes.addAndGet(entry.estimatedBytes()));
	}

	/**
	 * Returns how much memory the answers of ended jobs occupy.
	 * @return the estimate in bytes
	 */
	long rememberedBytes() {
		return this.rememberedBytes.get();
	}

	/**
	 * Ends this host's right to start jobs under the tickets of this registry. No entry
	 * is created after this method returns.
	 * @return {@code true} if this call handed the registry over; {@code false} if an
	 * earlier call did
	 */
	boolean handOver() {
		this.holderLock.writeLock().lock();
		try {
			boolean handedOverNow = !this.handedOver;
			this.handedOver = true;
			return handedOverNow;
		}
		finally {
			this.holderLock.writeLock().unlock();
		}
	}

	/**
	 * Returns whether this host may start jobs under the tickets of this registry.
	 * @return {@code true} until the registry is handed over
	 */
	boolean held() {
		return !this.handedOver;
	}

	/**
	 * Returns whether every ticket of the registry has expired.
	 * @return {@code true} if the registry can be removed
	 */
	boolean expired() {
		return this.lastExpiryEpochMillis.get() <= issuerEpochMillis();
	}

	/**
	 * Passes each entry with its sequence number to a consumer.
	 * @param consumer the consumer
	 */
	void forEach(BiConsumer<Long, JobEntry> consumer) {
		this.entries.forEach(consumer);
	}

	/**
	 * Returns the number of entries.
	 * @return the number of tickets that were submitted or closed and are still stored
	 */
	int entryCount() {
		return this.entries.size();
	}

	/**
	 * Returns the current time by the clock of the host that issued the tickets.
	 * @return milliseconds since the epoch
	 */
	long issuerEpochMillis() {
		return this.time.epochMillis() + this.issuerClockAheadMillis;
	}

	/**
	 * Returns the latest expiry of all tickets of this registry.
	 * @return milliseconds since the epoch by the clock of the issuer
	 */
	long lastExpiryEpochMillis() {
		return this.lastExpiryEpochMillis.get();
	}

	/**
	 * Returns the ticket factory of the incarnation.
	 * @return the ticket factory
	 */
	TicketFactory ticketFactory() {
		return this.ticketFactory;
	}

	/**
	 * Holds the result of a claim.
	 *
	 * @param entry the entry
	 * @param created whether this claim created the entry; otherwise it existed before
	 */
	record Claim(JobEntry entry, boolean created) {

	}

}
