package org.masticwick.daemon.request;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.Ticket;
import org.masticwick.core.request.TicketFactory;

/**
 * Holds the ticket books of a process: its own and those it took over.
 */
public final class TicketRegistries {

	private final TicketRegistry own;

	private final Map<Incarnation, TicketRegistry> books = new ConcurrentHashMap<>();

	private final Map<Incarnation, HostAddress> heirs = new ConcurrentHashMap<>();

	private final Set<Incarnation> withoutHeir = ConcurrentHashMap.newKeySet();

	private final TimeSource time;

	private final long lifetimeMillis;

	private final long maxRememberedBytes;

	/**
	 * Creates the books of a process that took none over.
	 * @param mint the mint of the process
	 * @param time the clock
	 * @param lifetimeMillis how long tickets live, in milliseconds
	 * @param maxRememberedBytes how much memory the answers of ended jobs may take before
	 * no more jobs are taken, in bytes
	 */
	public TicketRegistries(TicketFactory mint, TimeSource time, long lifetimeMillis, long maxRememberedBytes) {
		this.own = new TicketRegistry(mint, time, 0);
		this.time = time;
		this.lifetimeMillis = lifetimeMillis;
		this.maxRememberedBytes = maxRememberedBytes;
		this.books.put(mint.issuer().incarnation(), this.own);
	}

	/**
	 * Issues tickets of this process.
	 * @param count how many
	 * @return the tickets
	 * @throws RequestException if the books were handed over, or the memory for answers
	 * is used up
	 */
	public List<Ticket> issue(int count) {
		if (answerMemoryFull()) {
			throw new RequestException(ErrorCode.OVERLOADED, "The memory for answers is used up until tickets expire");
		}
		return this.own.issue(count, this.time.epochMillis() + this.lifetimeMillis);
	}

	/**
	 * Returns the book of an incarnation if this process has it.
	 * @param incarnation the incarnation
	 * @return the book
	 */
	Optional<TicketRegistry> find(Incarnation incarnation) {
		return Optional.ofNullable(this.books.get(incarnation));
	}

	/**
	 * Notes to whom a book was handed over.
	 * @param incarnation the incarnation of the book
	 * @param heir the peer address of the heir
	 */
	void noteHeir(Incarnation incarnation, HostAddress heir) {
		this.heirs.put(incarnation, heir);
	}

	/**
	 * Notes that a book was given up and no process took it over, so that none will ever
	 * start a job under a ticket of it that was not submitted before.
	 * @param incarnation the incarnation of the book
	 */
	void noteNoHeir(Incarnation incarnation) {
		this.withoutHeir.add(incarnation);
	}

	/**
	 * Returns whether a book was given up and no process took it over.
	 * @param incarnation the incarnation of the book
	 * @return {@code true} if so
	 */
	boolean withoutHeir(Incarnation incarnation) {
		return this.withoutHeir.contains(incarnation);
	}

	/**
	 * Returns to whom this process handed a book over.
	 * @param incarnation the incarnation of the book
	 * @return the peer address of the heir
	 */
	Optional<HostAddress> heirOf(Incarnation incarnation) {
		return Optional.ofNullable(this.heirs.get(incarnation));
	}

	/**
	 * Takes over a book.
	 * @param book the book
	 * @return {@code false} if this process had it already or has handed its books over
	 */
	synchronized boolean inherit(TicketRegistry book) {
		return this.own.held() && this.books.putIfAbsent(book.mint().issuer().incarnation(), book) == null;
	}

	/**
	 * Gives up the right to start jobs under the tickets of all books, and takes no book
	 * over from now on.
	 * @return the books that were held until now
	 */
	synchronized List<TicketRegistry> handOver() {
		return this.books.values().stream().filter(TicketRegistry::handOver).toList();
	}

	/**
	 * Returns the book of this process's own tickets.
	 * @return the book
	 */
	TicketRegistry own() {
		return this.own;
	}

	/**
	 * Returns the incarnations under whose tickets this process may start jobs.
	 * @return the incarnations
	 */
	public List<Incarnation> heldIncarnations() {
		return this.books.values()
			.stream()
			.filter(TicketRegistry::held)
			.map((book) -> book.mint().issuer().incarnation())
			.sorted()
			.toList();
	}

	/**
	 * Forgets what has expired.
	 */
	public void removeExpired() {
		this.books.values().forEach(TicketRegistry::removeExpired);
		this.books.values().removeIf((book) -> book != this.own && book.expired());
	}

	/**
	 * Returns how much memory the answers of ended jobs take in all books.
	 * @return the estimate in bytes
	 */
	public long rememberedBytes() {
		return this.books.values().stream().mapToLong(TicketRegistry::rememberedBytes).sum();
	}

	/**
	 * Returns how much memory there is for answers that another process hands over. It
	 * goes somewhat beyond what stops new jobs, so that a planned stop under load loses
	 * little.
	 * @return the memory in bytes
	 */
	long freeBytes() {
		return Math.max(0, this.maxRememberedBytes / 3 * 4 - rememberedBytes());
	}

	/**
	 * Returns whether the memory for answers is used up, so that no job may be taken. No
	 * answer is dropped before its ticket expires.
	 * @return {@code true} if it is
	 */
	public boolean answerMemoryFull() {
		return rememberedBytes() >= this.maxRememberedBytes;
	}

	/**
	 * Returns how many tickets are remembered in all books.
	 * @return the count
	 */
	public int rememberedCount() {
		return this.books.values().stream().mapToInt(TicketRegistry::size).sum();
	}

}
