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

	private final TicketRegistry ownRegistry;

	private final Map<Incarnation, TicketRegistry> registries = new ConcurrentHashMap<>();

	private final Map<Incarnation, HostAddress> successors = new ConcurrentHashMap<>();

	private final Set<Incarnation> withoutSuccessor = ConcurrentHashMap.newKeySet();

	private final TimeSource time;

	private final long lifetimeMillis;

	private final long maxRememberedBytes;

	/**
	 * Creates the books of a process that took none over.
	 * @param ticketFactory the mint of the process
	 * @param time the clock
	 * @param lifetimeMillis how long tickets live, in milliseconds
	 * @param maxRememberedBytes how much memory the answers of ended jobs may take before
	 * no more jobs are taken, in bytes
	 */
	public TicketRegistries(TicketFactory ticketFactory, TimeSource time, long lifetimeMillis,
			long maxRememberedBytes) {
		this.ownRegistry = new TicketRegistry(ticketFactory, time, 0);
		this.time = time;
		this.lifetimeMillis = lifetimeMillis;
		this.maxRememberedBytes = maxRememberedBytes;
		this.registries.put(ticketFactory.issuer().incarnation(), this.ownRegistry);
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
		return this.ownRegistry.issue(count, this.time.epochMillis() + this.lifetimeMillis);
	}

	/**
	 * Returns the book of an incarnation if this process has it.
	 * @param incarnation the incarnation
	 * @return the book
	 */
	Optional<TicketRegistry> find(Incarnation incarnation) {
		return Optional.ofNullable(this.registries.get(incarnation));
	}

	/**
	 * Notes to whom a book was handed over.
	 * @param incarnation the incarnation of the book
	 * @param successor the peer address of the heir
	 */
	void recordSuccessor(Incarnation incarnation, HostAddress successor) {
		this.successors.put(incarnation, successor);
	}

	/**
	 * Notes that a book was given up and no process took it over, so that none will ever
	 * start a job under a ticket of it that was not submitted before.
	 * @param incarnation the incarnation of the book
	 */
	void recordNoSuccessor(Incarnation incarnation) {
		this.withoutSuccessor.add(incarnation);
	}

	/**
	 * Returns whether a book was given up and no process took it over.
	 * @param incarnation the incarnation of the book
	 * @return {@code true} if so
	 */
	boolean hasNoSuccessor(Incarnation incarnation) {
		return this.withoutSuccessor.contains(incarnation);
	}

	/**
	 * Returns to whom this process handed a book over.
	 * @param incarnation the incarnation of the book
	 * @return the peer address of the heir
	 */
	Optional<HostAddress> successorOf(Incarnation incarnation) {
		return Optional.ofNullable(this.successors.get(incarnation));
	}

	/**
	 * Takes over a book.
	 * @param registry the book
	 * @return {@code false} if this process had it already or has handed its books over
	 */
	synchronized boolean inherit(TicketRegistry registry) {
		return this.ownRegistry.held()
				&& this.registries.putIfAbsent(registry.ticketFactory().issuer().incarnation(), registry) == null;
	}

	/**
	 * Gives up the right to start jobs under the tickets of all books, and takes no book
	 * over from now on.
	 * @return the books that were held until now
	 */
	synchronized List<TicketRegistry> handOver() {
		return this.registries.values().stream().filter(TicketRegistry::handOver).toList();
	}

	/**
	 * Returns the book of this process's own tickets.
	 * @return the book
	 */
	TicketRegistry ownRegistry() {
		return this.ownRegistry;
	}

	/**
	 * Returns the incarnations under whose tickets this process may start jobs.
	 * @return the incarnations
	 */
	public List<Incarnation> heldIncarnations() {
		return this.registries.values()
			.stream()
			.filter(TicketRegistry::held)
			.map((registry) -> registry.ticketFactory().issuer().incarnation())
			.sorted()
			.toList();
	}

	/**
	 * Forgets what has expired.
	 */
	public void removeExpired() {
		this.registries.values().forEach(TicketRegistry::removeExpired);
		this.registries.values().removeIf((registry) -> registry != this.ownRegistry && registry.expired());
	}

	/**
	 * Returns how much memory the answers of ended jobs take in all books.
	 * @return the estimate in bytes
	 */
	public long rememberedBytes() {
		return this.registries.values().stream().mapToLong(TicketRegistry::rememberedBytes).sum();
	}

	/**
	 * Returns how much memory there is for answers that another process hands over. It
	 * goes somewhat beyond what stops new jobs, so that a planned stop under load loses
	 * little.
	 * @return the memory in bytes
	 */
	long freeBytesForInheritedAnswers() {
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
		return this.registries.values().stream().mapToInt(TicketRegistry::entryCount).sum();
	}

}
