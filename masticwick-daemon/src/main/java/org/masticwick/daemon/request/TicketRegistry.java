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
 * Holds the right to start jobs under the tickets of one incarnation, and remembers what
 * became of each until it expires. The right leaves the process at most once, when an
 * heir takes the book over.
 */
public final class TicketRegistry {

	private final TicketFactory mint;

	private final TimeSource time;

	private final long homeClockAheadMillis;

	private final Map<Long, JobEntry> entries = new ConcurrentHashMap<>();

	private final AtomicLong rememberedBytes = new AtomicLong();

	private final ReadWriteLock rightLock = new ReentrantReadWriteLock();

	private volatile boolean handedOver;

	private final AtomicLong lastExpiryEpochMillis = new AtomicLong();

	/**
	 * Creates the book of an incarnation.
	 * @param mint the mint of the incarnation
	 * @param time the clock of this process
	 * @param homeClockAheadMillis how far the clock of the issuing process is ahead of
	 * this one, in milliseconds
	 */
	public TicketRegistry(TicketFactory mint, TimeSource time, long homeClockAheadMillis) {
		this.mint = mint;
		this.time = time;
		this.homeClockAheadMillis = homeClockAheadMillis;
	}

	/**
	 * Issues tickets of this book.
	 * @param count how many
	 * @param expiryEpochMillis when they expire, in milliseconds since the epoch
	 * @return the tickets
	 * @throws NotHolderException if the book was handed over, since the heir would not
	 * know the tickets
	 */
	List<Ticket> issue(int count, long expiryEpochMillis) {
		this.rightLock.readLock().lock();
		try {
			if (this.handedOver) {
				throw new NotHolderException("The host is stopping");
			}
			noteExpiry(expiryEpochMillis);
			return this.mint.issue(count, expiryEpochMillis);
		}
		finally {
			this.rightLock.readLock().unlock();
		}
	}

	/**
	 * Returns the entry of a ticket, and creates it if the ticket was not submitted yet.
	 * @param ticket a verified ticket
	 * @param digest the digest of the submitted body
	 * @return the entry, and whether the caller of this method is the one that created
	 * it; empty if the book was handed over and has no entry of the ticket
	 * @throws RequestException if the ticket has expired
	 */
	Optional<Claim> claim(Ticket ticket, byte[] digest) {
		requireUnexpired(ticket);
		this.rightLock.readLock().lock();
		try {
			if (this.handedOver) {
				return Optional.ofNullable(this.entries.get(ticket.sequence())).map((entry) -> new Claim(entry, false));
			}
			JobEntry fresh = new JobEntry(digest, ticket.expiryEpochMillis());
			JobEntry present = this.entries.putIfAbsent(ticket.sequence(), fresh);
			if (present != null) {
				return Optional.of(new Claim(present, false));
			}
			weigh(fresh);
			return Optional.of(new Claim(fresh, true));
		}
		finally {
			this.rightLock.readLock().unlock();
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
	 * Returns whether this process can answer for a ticket.
	 * @param ticket the ticket
	 * @return {@code true} if it holds the book or remembers the ticket
	 */
	boolean answersFor(Ticket ticket) {
		return held() || this.entries.containsKey(ticket.sequence());
	}

	private void requireUnexpired(Ticket ticket) {
		if (ticket.expiryEpochMillis() <= homeEpochMillis()) {
			throw new RequestException(ErrorCode.OUTCOME_FORGOTTEN, "The ticket has expired");
		}
	}

	/**
	 * Restores an entry that an earlier holder of the book had.
	 * @param sequence the number of the ticket
	 * @param entry the entry
	 */
	void restore(long sequence, JobEntry entry) {
		this.entries.put(sequence, entry);
		weigh(entry);
		noteExpiry(entry.expiryEpochMillis());
	}

	/**
	 * Notes how long the book is needed at least.
	 * @param expiryEpochMillis the expiry of an issued ticket, in milliseconds since the
	 * epoch
	 */
	void noteExpiry(long expiryEpochMillis) {
		this.lastExpiryEpochMillis.accumulateAndGet(expiryEpochMillis, Math::max);
	}

	/**
	 * Forgets the entries of expired tickets.
	 */
	void removeExpired() {
		long now = homeEpochMillis();
		this.entries.values().removeIf((entry) -> {
			boolean forgotten = entry.expiryEpochMillis() <= now && entry.answer().isDone();
			if (forgotten) {
				this.rememberedBytes.addAndGet(-entry.weightBytes());
			}
			return forgotten;
		});
	}

	private void weigh(JobEntry entry) {
		entry.answer().thenRun(() -> this.rememberedBytes.addAndGet(entry.weightBytes()));
	}

	/**
	 * Returns how much memory the answers of ended jobs take.
	 * @return the estimate in bytes
	 */
	long rememberedBytes() {
		return this.rememberedBytes.get();
	}

	/**
	 * Gives up the right to start jobs under the tickets of this book. Entries that exist
	 * when this returns are all there will be.
	 * @return {@code true} if this call gave it up
	 */
	boolean handOver() {
		this.rightLock.writeLock().lock();
		try {
			boolean first = !this.handedOver;
			this.handedOver = true;
			return first;
		}
		finally {
			this.rightLock.writeLock().unlock();
		}
	}

	/**
	 * Returns whether this process may still start jobs under the tickets of this book.
	 * @return {@code true} if it may
	 */
	boolean held() {
		return !this.handedOver;
	}

	/**
	 * Returns whether every ticket of the book has expired.
	 * @return {@code true} if the book is of no more use
	 */
	boolean expired() {
		return this.lastExpiryEpochMillis.get() <= homeEpochMillis();
	}

	/**
	 * Passes each entry with its sequence number to a consumer.
	 * @param consumer the consumer
	 */
	void forEach(BiConsumer<Long, JobEntry> consumer) {
		this.entries.forEach(consumer);
	}

	/**
	 * Returns how many tickets are remembered.
	 * @return the count
	 */
	int size() {
		return this.entries.size();
	}

	/**
	 * Returns the time by the clock of the process that issued the tickets.
	 * @return milliseconds since the epoch
	 */
	long homeEpochMillis() {
		return this.time.epochMillis() + this.homeClockAheadMillis;
	}

	/**
	 * Returns the last expiry of a ticket of this book.
	 * @return milliseconds since the epoch by the clock of the home
	 */
	long lastExpiryEpochMillis() {
		return this.lastExpiryEpochMillis.get();
	}

	/**
	 * Returns the mint of the incarnation.
	 * @return the mint
	 */
	TicketFactory mint() {
		return this.mint;
	}

	/**
	 * Tells who created an entry.
	 *
	 * @param entry the entry
	 * @param created whether the claim created it
	 */
	record Claim(JobEntry entry, boolean created) {

	}

}
