package org.masticwick.fleet.process;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.masticwick.core.pool.PoolLoad;
import org.masticwick.core.pool.PoolSelector;
import org.masticwick.core.process.HostAddress;

/**
 * Lists the pools with their owners and loads, by the claims in the log and the reports
 * of the owners.
 */
final class PoolDirectory {

	private final MemberRecord self;

	private final PeerTable peers;

	private final Map<String, PoolClaim> claims = new HashMap<>();

	private final Map<String, Long> claimReceivedMillis = new HashMap<>();

	/** The owners before the newest claims, by pool. */
	private final Map<String, MemberRecord> previousOwners = new HashMap<>();

	/**
	 * The demand of the jobs sent to a pool since its last report, in thousandths of a
	 * core.
	 */
	private final Map<String, Long> unreportedMillicores = new HashMap<>();

	private final Predicate<String> drainedPools;

	private PoolOwner localOwner;

	/**
	 * Creates a directory without pools.
	 * @param self this host
	 * @param peers the peers
	 * @param drainedPools tells whether the failure domain of a pool is drained
	 */
	PoolDirectory(MemberRecord self, PeerTable peers, Predicate<String> drainedPools) {
		this.self = self;
		this.peers = peers;
		this.drainedPools = drainedPools;
	}

	/**
	 * Applies a claim if it has a higher fencing token than the previous one.
	 * @param claim the claim
	 * @return whether it was applied
	 */
	boolean applyClaim(PoolClaim claim) {
		PoolClaim previousClaim = this.claims.get(claim.pool());
		if (previousClaim != null && previousClaim.fencingToken() >= claim.fencingToken()) {
			return false;
		}
		if (previousClaim != null && previousClaim.owner() != null && !previousClaim.owner().equals(claim.owner())) {
			this.previousOwners.put(claim.pool(), previousClaim.owner());
		}
		this.claims.put(claim.pool(), claim);
		this.claimReceivedMillis.put(claim.pool(), Clock.nowMillis());
		return true;
	}

	/**
	 * Returns how long ago this host received the newest claim of a pool.
	 * @param pool the name of the pool
	 * @param nowMillis the time in milliseconds
	 * @return the time in milliseconds, or 0 if there is no claim
	 */
	long claimAgeMillis(String pool, long nowMillis) {
		return nowMillis - this.claimReceivedMillis.getOrDefault(pool, nowMillis);
	}

	/**
	 * Returns the host that owned a pool before the newest claim.
	 * @param pool the name of the pool
	 * @return its peer address, or empty if there was none
	 */
	Optional<HostAddress> previousOwner(String pool) {
		return Optional.ofNullable(this.previousOwners.get(pool)).map(MemberRecord::peerAddress);
	}

	Optional<PoolClaim> claim(String pool) {
		return Optional.ofNullable(this.claims.get(pool));
	}

	void setLocalOwner(PoolOwner owner) {
		this.localOwner = owner;
	}

	Optional<PoolOwner> localOwner() {
		return Optional.ofNullable(this.localOwner);
	}

	Optional<PoolOwner> localOwnerOf(String pool) {
		return localOwner().filter((owner) -> owner.owns(pool));
	}

	/**
	 * Returns the owner of a pool: the host with the highest fencing token, in a claim or
	 * in a report.
	 * @param pool the name of the pool
	 * @return the peer address of the owner, or empty if there is none
	 */
	Optional<HostAddress> ownerAddress(String pool) {
		if (localOwnerOf(pool).isPresent()) {
			return Optional.of(this.self.peerAddress());
		}
		PoolClaim claim = this.claims.get(pool);
		Optional<PeerTable.ReportedOwner> reported = this.peers.reportedOwner(pool);
		if (claim == null || reported.isPresent() && reported.get().fencingToken() > claim.fencingToken()) {
			return reported.map(PeerTable.ReportedOwner::address);
		}
		return Optional.ofNullable(claim.owner()).map(MemberRecord::peerAddress);
	}

	/**
	 * Returns the pools that this host owns, or whose owner it has recent contact with.
	 * @param nowMillis the time in milliseconds
	 * @return the names of the pools
	 */
	List<String> poolsWithReachableOwner(long nowMillis) {
		return pools().stream().filter((pool) -> isOwnerReachable(pool, nowMillis)).toList();
	}

	/**
	 * Returns whether this host owns a pool or has recent contact with its owner. An
	 * owner that was restarted after its claim does not count.
	 * @param pool the name of the pool
	 * @param nowMillis the time in milliseconds
	 * @return whether the owner is reachable
	 */
	boolean isOwnerReachable(String pool, long nowMillis) {
		if (localOwnerOf(pool).isPresent()) {
			return true;
		}
		PoolClaim claim = this.claims.get(pool);
		Optional<HostAddress> address = ownerAddress(pool);
		if (claim != null && claim.owner() != null && address.filter(claim.owner().peerAddress()::equals).isPresent()) {
			return this.peers.isReachable(claim.owner(), nowMillis);
		}
		return address.filter((ownerAddress) -> this.peers.isReachable(ownerAddress, nowMillis)).isPresent();
	}

	/**
	 * Returns the pools that a job can be sent to, one for each owner.
	 * @param nowMillis the time in milliseconds
	 * @return the candidates; of an owner's pools, preferably that of this host's domain
	 */
	List<PoolSelector.Candidate> candidates(long nowMillis) {
		Map<HostAddress, PoolSelector.Candidate> byOwner = new LinkedHashMap<>();
		pools().forEach((pool) -> candidate(pool, nowMillis).ifPresent((candidate) -> byOwner
			.merge(ownerAddress(pool).orElseThrow(), candidate, (first, second) -> second.local() ? second : first)));
		return List.copyOf(byOwner.values());
	}

	void recordSent(String pool, long millicores) {
		this.unreportedMillicores.merge(pool, millicores, Long::sum);
	}

	void resetSent(String pool) {
		this.unreportedMillicores.remove(pool);
	}

	/**
	 * Returns the pools that were ever claimed.
	 * @return their names
	 */
	Set<String> pools() {
		return new TreeSet<>(this.claims.keySet());
	}

	/**
	 * Returns the hosts that own a pool, by the newest claims and reports.
	 * @return their peer addresses
	 */
	Set<HostAddress> owners() {
		return this.claims.keySet().stream().flatMap((pool) -> ownerAddress(pool).stream()).collect(Collectors.toSet());
	}

	/**
	 * Counts the pools that a host owns, by the newest claims and reports.
	 * @param hostAddress the peer address of the host
	 * @return the number of pools
	 */
	long poolCount(HostAddress hostAddress) {
		return this.claims.keySet()
			.stream()
			.filter((pool) -> ownerAddress(pool).filter(hostAddress::equals).isPresent())
			.count();
	}

	/**
	 * Returns a pool as a candidate for a job.
	 * @param pool the name of the pool
	 * @param nowMillis the time in milliseconds
	 * @return the candidate, or empty if the pool has no owner, its owner is unreachable
	 * or this host is handing it over
	 */
	Optional<PoolSelector.Candidate> candidate(String pool, long nowMillis) {
		boolean local = pool.equals(this.self.domain());
		if (localOwnerOf(pool).isPresent()) {
			PoolLoad load = this.localOwner.load();
			return this.localOwner.isFrozen() ? Optional.empty() : Optional.of(new PoolSelector.Candidate(pool, local,
					false, load.freeMillicores(), load.backlogMillis(), load.totalMillicores() > 0));
		}
		return ownerAddress(pool).filter((address) -> !address.equals(this.self.peerAddress()))
			.flatMap((address) -> remoteCandidate(pool, address, local, nowMillis));
	}

	private Optional<PoolSelector.Candidate> remoteCandidate(String pool, HostAddress ownerAddress, boolean local,
			long nowMillis) {
		if (!this.peers.isReachable(ownerAddress, nowMillis)) {
			// Until a new host has had time to receive reports, it tries the owner
			// anyway.
			return this.peers.isDiscoveryComplete(nowMillis) ? Optional.empty() : Optional
				.of(new PoolSelector.Candidate(pool, local, true, 0, 0, !ownsOnlyDrainedPools(pool, ownerAddress)));
		}
		boolean ownerSuspect = this.peers.isSuspect(ownerAddress, nowMillis);
		long sentMillicores = this.unreportedMillicores.getOrDefault(pool, 0L);
		return this.peers.report(ownerAddress)
			.flatMap((hostReport) -> hostReport.pools()
				.stream()
				.filter((poolReport) -> poolReport.pool().equals(pool))
				.findFirst())
			.map((poolReport) -> new PoolSelector.Candidate(pool, local, ownerSuspect,
					poolReport.load().freeMillicores() - sentMillicores, poolReport.load().backlogMillis(),
					poolReport.load().totalMillicores() > 0 && !ownsOnlyDrainedPools(pool, ownerAddress)));
	}

	// An owner schedules all its pools as one, so that it runs jobs as long as one of
	// them is not drained. What this host knows may be newer than the owner's report.
	private boolean ownsOnlyDrainedPools(String pool, HostAddress ownerAddress) {
		return this.drainedPools.test(pool) && this.claims.keySet()
			.stream()
			.filter((other) -> !this.drainedPools.test(other))
			.noneMatch((other) -> ownerAddress(other).filter(ownerAddress::equals).isPresent());
	}

}
