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
		return owner(pool).filter((owner) -> !owner.equals(this.self))
			.filter((owner) -> this.directory.isOwnerReachable(pool, Clock.nowMillis()));
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
			.filter((owner) -> !owner.equals(this.self) && this.peers.isReachable(owner, nowMillis));
		return Stream.concat(owners, previousOwners).collect(Collectors.toSet());
	}

	@Override
	public boolean mayRunAtLostOwner(long receivedMillis) {
		long nowMillis = Clock.nowMillis();
		return this.directory.pools()
			.stream()
			.flatMapToLong((pool) -> this.reachability.unreachableSinceMillis(pool).stream())
			.anyMatch((sinceMillis) -> receivedMillis < sinceMillis + ARRIVAL_MARGIN_MILLIS
					&& nowMillis < sinceMillis + PoolSettings.defaults().leaseMaxMillis());
	}

	@Override
	public long contactSinceMillis() {
		return this.domains.stream()
			.filter((pool) -> this.directory.localOwnerOf(pool).isEmpty())
			.mapToLong(this.reachability::reachableSinceMillis)
			.max()
			.orElse(Long.MIN_VALUE / 2);
	}

	@Override
	public CompletableFuture<PeerMessage> register(HostAddress owner, JobRegistration registration) {
		return this.transport.get().call(owner, new PeerMessage.RegisterJob(registration));
	}

}
