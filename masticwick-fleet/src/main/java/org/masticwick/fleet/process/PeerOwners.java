package org.masticwick.fleet.process;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.masticwick.core.pool.AssignedPool;
import org.masticwick.core.pool.JobRegistration;
import org.masticwick.core.pool.PoolSettings;
import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerTransport;

/**
 * The other owners by the claims in the log and the reports of peers.
 */
final class PeerOwners implements SiteOwners {

	/**
	 * How long after the loss of an owner was noticed a job may reach its callers' host
	 * whose previous copy reached that owner, in milliseconds: the time between two
	 * copies and the delay of messages between hosts.
	 */
	private static final long ARRIVAL_MARGIN_MILLIS = 200;

	/**
	 * After how long an owner that does not hear this host counts as unreachable, in
	 * milliseconds; until then it is asked, as messages to it may only be late.
	 */
	private static final long MAX_MISSED_MILLIS = 1_000;

	private final HostAddress self;

	private final List<String> domains;

	private final PoolDirectory directory;

	private final PeerTable peers;

	private final OwnerReachability reachability;

	private final Supplier<PeerTransport> transport;

	/**
	 * Creates an instance.
	 * @param self the peer address of this host
	 * @param domains the names of all failure domains, in the same order on all hosts
	 * @param directory the owners of the pools
	 * @param peers the peers
	 * @param reachability since when owners have been unreachable
	 * @param transport returns the transport to the peers once the host is started
	 */
	PeerOwners(HostAddress self, List<String> domains, PoolDirectory directory, PeerTable peers,
			OwnerReachability reachability, Supplier<PeerTransport> transport) {
		this.self = self;
		this.domains = List.copyOf(domains);
		this.directory = directory;
		this.peers = peers;
		this.reachability = reachability;
		this.transport = transport;
	}

	@Override
	public String registrarPool(String jobId) {
		return AssignedPool.of(jobId, this.domains);
	}

	@Override
	public Optional<HostAddress> reachableOwner(String pool) {
		long nowMillis = Clock.nowMillis();
		return owner(pool).filter((owner) -> !owner.equals(this.self))
			.filter((owner) -> this.directory.isOwnerReachable(pool, nowMillis))
			.filter((owner) -> this.peers.missedMillis(owner, nowMillis) < MAX_MISSED_MILLIS);
	}

	@Override
	public Optional<HostAddress> owner(String pool) {
		return this.directory.ownerAddress(pool);
	}

	@Override
	public Set<HostAddress> reachableOwners() {
		long nowMillis = Clock.nowMillis();
		Stream<HostAddress> owners = this.directory.pools().stream().flatMap((pool) -> reachableOwner(pool).stream());
		Stream<HostAddress> previousOwners = this.directory.pools()
			.stream()
			.filter((pool) -> this.directory.localOwnerOf(pool).isPresent())
			.filter((pool) -> this.directory.claimAgeMillis(pool, nowMillis) < SettledPools.SETTLING_MILLIS)
			.flatMap((pool) -> this.directory.previousOwner(pool).stream())
			.filter((owner) -> !owner.equals(this.self) && this.peers.isReachable(owner, nowMillis))
			.filter(this::reportsPools);
		return Stream.concat(owners, previousOwners).collect(Collectors.toSet());
	}

	private boolean reportsPools(HostAddress peer) {
		return this.peers.report(peer).filter((report) -> !report.pools().isEmpty()).isPresent();
	}

	@Override
	public boolean isOwner(HostAddress host) {
		return this.directory.owners().contains(host);
	}

	@Override
	public boolean mayRunAtLostOwner(long receivedMillis) {
		long nowMillis = Clock.nowMillis();
		// An owner may have become unreachable since the last check.
		this.reachability.tick(this.domains, nowMillis);
		return this.directory.pools()
			.stream()
			.flatMapToLong((pool) -> this.reachability.unreachableSinceMillis(pool).stream())
			.anyMatch((sinceMillis) -> receivedMillis < sinceMillis + ARRIVAL_MARGIN_MILLIS
					&& nowMillis < sinceMillis + PoolSettings.defaults().leaseMaxMillis());
	}

	@Override
	public long contactSinceMillis() {
		this.reachability.tick(this.domains, Clock.nowMillis());
		return this.domains.stream()
			.filter((pool) -> this.directory.localOwnerOf(pool).isEmpty())
			.mapToLong(this::contactSinceMillis)
			.max()
			.orElse(Long.MIN_VALUE / 2);
	}

	// An owner that does not hear this host may run jobs without registering them here.
	private long contactSinceMillis(String pool) {
		long lastMissedMillis = owner(pool).map(this.peers::lastMissedMillis).orElse(Long.MAX_VALUE);
		return Math.max(this.reachability.reachableSinceMillis(pool), lastMissedMillis);
	}

	@Override
	public CompletableFuture<PeerMessage> register(HostAddress owner, JobRegistration registration) {
		return this.transport.get().call(owner, new PeerMessage.RegisterJob(registration));
	}

}
