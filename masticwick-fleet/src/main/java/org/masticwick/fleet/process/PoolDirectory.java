package org.masticwick.fleet.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.masticwick.core.pool.PoolLoad;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.pool.PoolChoice;

/**
 * Tells which pools there are, who owns each, and how each is loaded as far as this host
 * knows.
 */
final class PoolDirectory {

	private final MemberRecord self;

	private final PeerTable peers;

	private final Map<String, PoolClaim> claims = new HashMap<>();

	/** What was sent to a pool since its last report, in thousandths of a core. */
	private final Map<String, Sent> sent = new HashMap<>();

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
		return true;
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
		return own().filter((owner) -> owner.claim().pool().equals(pool));
	}

	/**
	 * Finds who owns a pool: who was seen with the highest token.
	 * @param pool the pool
	 * @return the peer address, or empty if nobody owns it
	 */
	Optional<HostAddress> ownerAddress(String pool) {
		PoolClaim claim = this.claims.get(pool);
		Optional<PeerTable.OwnerReport> reported = this.peers.ownerOf(pool);
		if (claim == null || reported.isPresent() && reported.get().report().fencingToken() > claim.fencingToken()) {
			return reported.map(PeerTable.OwnerReport::owner);
		}
		return Optional.ofNullable(claim.owner()).map(MemberRecord::peerAddress);
	}

	/**
	 * Returns the pools whose owner this host hears.
	 * @param nowMillis the time in milliseconds
	 * @return the names
	 */
	List<String> heardOwners(long nowMillis) {
		return pools().stream().filter((pool) -> candidate(pool, nowMillis) != null).toList();
	}

	List<PoolChoice.Candidate> candidates(long nowMillis) {
		return pools().stream().map((pool) -> candidate(pool, nowMillis)).filter(Objects::nonNull).toList();
	}

	void noteSent(String pool, long millicores) {
		this.sent.computeIfAbsent(pool, (name) -> new Sent()).millicores += millicores;
	}

	void reportSeen(String pool) {
		this.sent.remove(pool);
	}

	private Set<String> pools() {
		return new TreeSet<>(this.claims.keySet());
	}

	private PoolChoice.Candidate candidate(String pool, long nowMillis) {
		boolean local = pool.equals(this.self.domain());
		if (ownOf(pool).isPresent()) {
			PoolLoad load = this.own.report().load();
			return new PoolChoice.Candidate(pool, local, false, load.freeMillicores(), load.backlogMillis());
		}
		return ownerAddress(pool).filter((address) -> !address.equals(this.self.peerAddress()))
			.filter((address) -> this.peers.isHeard(address, nowMillis))
			.flatMap((address) -> remote(pool, address, local, nowMillis))
			.orElse(null);
	}

	private Optional<PoolChoice.Candidate> remote(String pool, HostAddress address, boolean local, long nowMillis) {
		boolean doubtful = this.peers.ageMillis(address, nowMillis) > PeerTable.DOUBT_MILLIS;
		long sentMillicores = this.sent.containsKey(pool) ? this.sent.get(pool).millicores : 0;
		return this.peers.report(address)
			.filter((report) -> !report.leaving())
			.flatMap((report) -> report.pools().stream().filter((each) -> each.pool().equals(pool)).findFirst())
			.map((report) -> new PoolChoice.Candidate(pool, local, doubtful,
					report.load().freeMillicores() - sentMillicores, report.load().backlogMillis()));
	}

	private static final class Sent {

		private long millicores;

	}

}
