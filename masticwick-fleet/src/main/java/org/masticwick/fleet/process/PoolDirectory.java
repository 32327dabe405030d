package org.masticwick.fleet.process;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.masticwick.core.pool.PoolLoad;
import org.masticwick.core.pool.PoolSelector;
import org.masticwick.core.process.HostAddress;

/**
 * Tells which pools there are, who owns each, and how each is loaded as far as this host
 * knows.
 */
final class PoolDirectory {

	private final MemberRecord self;

	private final PeerTable peers;

	private final Map<String, PoolClaim> claims = new HashMap<>();

	private final Map<String, Long> claimedMillis = new HashMap<>();

	/** What was sent to a pool since its last report, in thousandths of a core. */
	private final Map<String, Long> sentMillicores = new HashMap<>();

	private PoolOwner own;

	PoolDirectory(MemberRecord self, PeerTable peers) {
		this.self = self;
		this.peers = peers;
	}

	/**
	 * Takes note of a claim.
	 * @param claim the claim
	 * @return whether it is newer than what was known
	 */
	boolean claimed(PoolClaim claim) {
		PoolClaim before = this.claims.get(claim.pool());
		if (before != null && before.fencingToken() >= claim.fencingToken()) {
			return false;
		}
		this.claims.put(claim.pool(), claim);
		this.claimedMillis.put(claim.pool(), Clock.nowMillis());
		return true;
	}

	/**
	 * Returns how long ago this host heard of the newest claim on a pool.
	 * @param pool the pool
	 * @param nowMillis the time in milliseconds
	 * @return the time in milliseconds
	 */
	long claimAgeMillis(String pool, long nowMillis) {
		return nowMillis - this.claimedMillis.getOrDefault(pool, nowMillis);
	}

	Optional<PoolClaim> claim(String pool) {
		return Optional.ofNullable(this.claims.get(pool));
	}

	void own(PoolOwner owner) {
		this.own = owner;
	}

	Optional<PoolOwner> own() {
		return Optional.ofNullable(this.own);
	}

	Optional<PoolOwner> ownOf(String pool) {
		return own().filter((owner) -> owner.owns(pool));
	}

	/**
	 * Finds who owns a pool: who was seen with the highest token.
	 * @param pool the pool
	 * @return the peer address, or empty if nobody owns it
	 */
	Optional<HostAddress> ownerAddress(String pool) {
		if (ownOf(pool).isPresent()) {
			return Optional.of(this.self.peerAddress());
		}
		PoolClaim claim = this.claims.get(pool);
		Optional<PeerTable.OwnerReport> reported = this.peers.ownerOf(pool);
		if (claim == null || reported.isPresent() && reported.get().report().fencingToken() > claim.fencingToken()) {
			return reported.map(PeerTable.OwnerReport::owner);
		}
		return Optional.ofNullable(claim.owner()).map(MemberRecord::peerAddress);
	}

	/**
	 * Returns the pools whose owner this host hears, or is.
	 * @param nowMillis the time in milliseconds
	 * @return the names
	 */
	List<String> heardOwners(long nowMillis) {
		return pools().stream().filter((pool) -> hearsOwner(pool, nowMillis)).toList();
	}

	/**
	 * Returns whether this host hears the owner of a pool, or is it.
	 * @param pool the pool
	 * @param nowMillis the time in milliseconds
	 * @return whether it does
	 */
	boolean hearsOwner(String pool, long nowMillis) {
		if (ownOf(pool).isPresent()) {
			return true;
		}
		PoolClaim claim = this.claims.get(pool);
		Optional<HostAddress> address = ownerAddress(pool);
		if (claim != null && claim.owner() != null && address.filter(claim.owner().peerAddress()::equals).isPresent()) {
			return this.peers.isHeard(claim.owner(), nowMillis);
		}
		return address.filter((other) -> this.peers.isHeard(other, nowMillis)).isPresent();
	}

	/**
	 * Returns the owners that a job can be sent to, each with one of its pools.
	 * @param nowMillis the time in milliseconds
	 * @return the candidates
	 */
	List<PoolSelector.Candidate> candidates(long nowMillis) {
		Map<HostAddress, PoolSelector.Candidate> byOwner = new LinkedHashMap<>();
		pools().forEach((pool) -> candidate(pool, nowMillis).ifPresent((candidate) -> byOwner
			.merge(ownerAddress(pool).orElseThrow(), candidate, (first, second) -> second.local() ? second : first)));
		return List.copyOf(byOwner.values());
	}

	void noteSent(String pool, long millicores) {
		this.sentMillicores.merge(pool, millicores, Long::sum);
	}

	void reportSeen(String pool) {
		this.sentMillicores.remove(pool);
	}

	private Set<String> pools() {
		return new TreeSet<>(this.claims.keySet());
	}

	/**
	 * Returns whether a host owns a pool, as far as is known.
	 * @param address the host
	 * @return whether it does
	 */
	boolean isOwner(HostAddress address) {
		return poolCount(address) > 0;
	}

	/**
	 * Counts the pools of an owner.
	 * @param address the owner
	 * @return the number
	 */
	long poolCount(HostAddress address) {
		return pools().stream().filter((pool) -> ownerAddress(pool).filter(address::equals).isPresent()).count();
	}

	/**
	 * Returns the owner of a pool, if a job can be sent to it.
	 * @param pool the pool
	 * @param nowMillis the time in milliseconds
	 * @return the candidate
	 */
	Optional<PoolSelector.Candidate> candidate(String pool, long nowMillis) {
		boolean local = pool.equals(this.self.domain());
		if (ownOf(pool).isPresent()) {
			PoolLoad load = this.own.load();
			return this.own.isFrozen() ? Optional.empty() : Optional
				.of(new PoolSelector.Candidate(pool, local, false, load.freeMillicores(), load.backlogMillis()));
		}
		return ownerAddress(pool).filter((address) -> !address.equals(this.self.peerAddress()))
			.flatMap((address) -> remote(pool, address, local, nowMillis));
	}

	private Optional<PoolSelector.Candidate> remote(String pool, HostAddress address, boolean local, long nowMillis) {
		if (!this.peers.isHeard(address, nowMillis)) {
			// Right after its start a host has heard nobody, and tries the owner all the
			// same.
			return this.peers.isSettled(nowMillis) ? Optional.empty()
					: Optional.of(new PoolSelector.Candidate(pool, local, true, 0, 0));
		}
		boolean doubtful = this.peers.ageMillis(address, nowMillis) > PeerTable.DOUBT_MILLIS;
		long waitingMillicores = this.sentMillicores.getOrDefault(pool, 0L);
		return this.peers.report(address)
			.flatMap((report) -> report.pools().stream().filter((each) -> each.pool().equals(pool)).findFirst())
			.map((report) -> new PoolSelector.Candidate(pool, local, doubtful,
					report.load().freeMillicores() - waitingMillicores, report.load().backlogMillis()));
	}

}
