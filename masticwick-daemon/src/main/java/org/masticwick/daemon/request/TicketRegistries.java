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
 * Holds the ticket registries of a host: the registry of its own incarnation and those
 * inherited from stopped hosts.
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
	 * Creates the registries of a host that has inherited none.
	 * @param ticketFactory creates and verifies the tickets of this host
	 * @param time the clock
	 * @param lifetimeMillis the time from the issue of a ticket to its expiry, in
	 * milliseconds
	 * @param maxRememberedBytes how much memory the answers of ended jobs may occupy
	 * before this host refuses new jobs, in bytes
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
	 * Issues tickets of this host.
	 * @param count the number of tickets
	 * @return the tickets
	 * @throws NotHolderException if the registries were handed over
	 * @throws RequestException if the memory for stored answers is full
	 */
	public List<Ticket> issue(int count) {
		if (answerMemoryFull()) {
			throw new RequestException(ErrorCode.OVERLOADED,
					"The memory for stored answers is full; retry after older tickets have expired");
		}
		return this.ownRegistry.issue(count, this.time.epochMillis() + this.lifetimeMillis);
	}

	/**
	 * Returns the registry of an incarnation.
	 * @param incarnation the incarnation
	 * @return the registry, or empty if this host has none of the incarnation
	 */
	Optional<TicketRegistry> find(Incarnation incarnation) {
		return Optional.ofNullable(this.registries.get(incarnation));
	}

	/**
	 * Records the successor to which a registry was handed over.
	 * @param incarnation the incarnation of the registry
	 * @param successor the peer address of the successor
	 */
	void recordSuccessor(Incarnation incarnation, HostAddress successor) {
		this.successors.put(incarnation, successor);
	}

	/**
	 * Records that this host gave its hold on a registry up and no host inherited it, so
	 * that no job will ever start under a ticket of the registry that was not submitted
	 * before.
	 * @param incarnation the incarnation of the registry
	 */
	void recordNoSuccessor(Incarnation incarnation) {
		this.withoutSuccessor.add(incarnation);
	}

	/**
	 * Returns whether this host ended its hold on a registry and no host inherited it.
	 * @param incarnation the incarnation of the registry
	 * @return {@code true} if the registry has no holder
	 */
	boolean hasNoSuccessor(Incarnation incarnation) {
		return this.withoutSuccessor.contains(incarnation);
	}

	/**
	 * Returns the successor to which this host handed a registry over.
	 * @param incarnation the incarnation of the registry
	 * @return the peer address of the successor, or empty if the registry was not handed
	 * over
	 */
	Optional<HostAddress> successorOf(Incarnation incarnation) {
		return Optional.ofNullable(this.successors.get(incarnation));
	}

	/**
	 * Assumes ownership of a registry.
	 * @param registry the registry
	 * @return {@code false} if this host has a registry of the same incarnation or has
	 * handed its registries over
	 */
	synchronized boolean inherit(TicketRegistry registry) {
		return this.ownRegistry.held()
				&& this.registries.putIfAbsent(registry.ticketFactory().issuer().incarnation(), registry) == null;
	}

	/**
	 * Ends this host's right to start jobs under the tickets of all registries. From now
	 * on it inherits none.
	 * @return the registries that this host held until now
	 */
	synchronized List<TicketRegistry> handOver() {
		return this.registries.values().stream().filter(TicketRegistry::handOver).toList();
	}

	/**
	 * Returns the registry of the tickets that this host issued.
	 * @return the registry
	 */
	TicketRegistry ownRegistry() {
		return this.ownRegistry;
	}

	/**
	 * Returns the incarnations under whose tickets this host may start jobs.
	 * @return the incarnations in their natural order
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
	 * Removes expired entries, and inherited registries whose tickets have all expired.
	 */
	public void removeExpired() {
		this.registries.values().forEach(TicketRegistry::removeExpired);
		this.registries.values().removeIf((registry) -> registry != this.ownRegistry && registry.expired());
	}

	/**
	 * Returns how much memory the answers of ended jobs occupy in all registries.
	 * @return the estimate in bytes
	 */
	public long rememberedBytes() {
		return this.registries.values().stream().mapToLong(TicketRegistry::rememberedBytes).sum();
	}

	/**
	 * Returns how much memory is free for answers that another host hands over. The limit
	 * is a third above the one at which new jobs are refused, so that few answers are
	 * lost when a host shuts down as planned under load.
	 * @return the free memory in bytes; never negative
	 */
	long freeBytesForInheritedAnswers() {
		return Math.max(0, this.maxRememberedBytes / 3 * 4 - rememberedBytes());
	}

	/**
	 * Returns whether the memory for stored answers is full. New jobs are refused then,
	 * because no answer is dropped before its ticket expires.
	 * @return {@code true} if the limit is reached
	 */
	public boolean answerMemoryFull() {
		return rememberedBytes() >= this.maxRememberedBytes;
	}

	/**
	 * Returns the number of entries in all registries.
	 * @return the number of tickets that were submitted or closed and are still stored
	 */
	public int rememberedCount() {
		return this.registries.values().stream().mapToInt(TicketRegistry::entryCount).sum();
	}

}
