package org.masticwick.fleet.process;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Decides whether this host should claim a pool that has no owner, or whose owner nobody
 * hears. On a small site one host owns all pools, so that no job waits in one while
 * another has room; a failure domain that is cut off has an owner of its own until it is
 * back. On a larger site each failure domain has its own.
 * <p>
 * Hosts take their turn: those that own pools already, then the strongest, then by name,
 * each a little later than the one before. Who claims at the same time is told apart by
 * the shared log, and orders of an owner that is not one any more are refused by the
 * endpoints.
 */
final class ClaimRule {

	/** How much later the next in turn may claim, should the one before not manage to. */
	private static final long RANK_DELAY_MILLIS = 300;

	/** How much later a host claims that hears no other host of the failure domain. */
	private static final long ISOLATION_DELAY_MILLIS = 2_500;

	/** How long hosts try to claim by the shared log before a deputy steps in. */
	private static final long STANDBY_DELAY_MILLIS = 250;

	/** How long a new owner may take to be heard by all. */
	private static final long NEW_OWNER_GRACE_MILLIS = 800;

	private final MemberRecord self;

	ClaimRule(MemberRecord self) {
		this.self = self;
	}

	/**
	 * Decides.
	 * @param situation what is known
	 * @return whether to claim the pool now
	 */
	boolean shouldClaim(Situation situation) {
		if (isClaimOfPreviousIncarnation(situation)) {
			return true;
		}
		if (mustKeepOwner(situation) || !mayOwnDomain(situation)) {
			return false;
		}
		long rank = claimRank(situation);
		boolean isolated = situation.hasPeersInDomain() && !hasReachableMemberInDomain(situation);
		return situation.ownerUnreachableMillis() >= rank * RANK_DELAY_MILLIS + (isolated ? ISOLATION_DELAY_MILLIS : 0);
	}

	/**
	 * Decides whether this host, a deputy, orders the endpoints of its failure domain
	 * without asking the shared log.
	 * @param situation what is known
	 * @return whether to step in now
	 */
	boolean shouldAssumeStandbyOwnership(Situation situation) {
		if (mustKeepOwner(situation)) {
			return false;
		}
		int rank = situation.claim().standbyRank(this.self.hostName());
		boolean isolated = situation.hasPeersInDomain() && !hasReachableMemberInDomain(situation);
		return situation.ownerUnreachableMillis() >= STANDBY_DELAY_MILLIS + rank * RANK_DELAY_MILLIS
				+ (isolated ? ISOLATION_DELAY_MILLIS : 0);
	}

	// This host owned the pool before it was started again, and nobody has claimed it
	// since.
	private boolean isClaimOfPreviousIncarnation(Situation situation) {
		PoolClaim claim = situation.claim();
		return claim != null && claim.owner() != null && claim.owner().hostName().equals(this.self.hostName());
	}

	private static boolean mustKeepOwner(Situation situation) {
		boolean owned = situation.claim() != null && situation.claim().owner() != null;
		if (!situation.discoveryComplete() || owned && situation.claimAgeMillis() < NEW_OWNER_GRACE_MILLIS) {
			return true;
		}
		return owned && (situation.ownerReachable() || situation.ownerReachableByPeers());
	}

	private boolean mayOwnDomain(Situation situation) {
		boolean local = situation.domain().equals(this.self.domain());
		return local || situation.singleOwnerSite() && hasReachableMemberInDomain(situation);
	}

	private static boolean hasReachableMemberInDomain(Situation situation) {
		return situation.reachableMembers().stream().anyMatch((member) -> member.domain().equals(situation.domain()));
	}

	private long claimRank(Situation situation) {
		List<MemberRecord> candidates = Stream.concat(Stream.of(this.self), situation.reachableMembers().stream())
			.filter((member) -> situation.singleOwnerSite() || member.domain().equals(situation.domain()))
			.sorted(Comparator
				.comparing((MemberRecord member) -> !situation.ownerHostNames().contains(member.hostName()))
				.thenComparing(MemberRecord.STRONGEST_FIRST))
			.toList();
		return candidates.indexOf(this.self);
	}

	/**
	 * What is known of a pool.
	 *
	 * @param domain the failure domain, which the pool is named after
	 * @param claim the newest claim, or {@code null} if there was none
	 * @param claimAgeMillis how long ago this host heard of that claim, in milliseconds
	 * @param ownerReachable whether this host hears the owner
	 * @param ownerReachableByPeers whether a peer says that it hears the owner
	 * @param discoveryComplete whether this host has run long enough to have heard those
	 * that live
	 * @param ownerUnreachableMillis for how long the owner has not been heard, in
	 * milliseconds
	 * @param singleOwnerSite whether one host should own all pools
	 * @param hasPeersInDomain whether other hosts of the failure domain are known
	 * @param reachableMembers the other members that are heard and stay
	 * @param ownerHostNames the names of hosts that own a pool
	 */
	record Situation(String domain, PoolClaim claim, long claimAgeMillis, boolean ownerReachable,
			boolean ownerReachableByPeers, boolean discoveryComplete, long ownerUnreachableMillis,
			boolean singleOwnerSite, boolean hasPeersInDomain, List<MemberRecord> reachableMembers,
			List<String> ownerHostNames) {
	}

}
