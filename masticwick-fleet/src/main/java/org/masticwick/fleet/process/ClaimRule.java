package org.masticwick.fleet.process;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Decides whether this host should claim a pool without an owner, or whose owner is
 * unreachable for all hosts. On a small site one host owns all pools, so that no job
 * waits in one pool while another has free capacity; a partitioned failure domain has its
 * own owner until the partition ends. On a larger site each failure domain has its own
 * owner.
 * <p>
 * Hosts claim in the order of their ranks, each with a delay after the previous one:
 * first hosts that own pools already, then those with more processor, then by name. Of
 * concurrent claims the log accepts one, and endpoints refuse commands of a previous
 * owner by its lower fencing token.
 */
final class ClaimRule {

	/**
	 * The delay from one rank to the next, for the case that the lower rank fails to
	 * claim.
	 */
	private static final long RANK_DELAY_MILLIS = 300;

	/**
	 * The additional delay of a host that reaches no other host of the failure domain.
	 */
	private static final long ISOLATION_DELAY_MILLIS = 2_500;

	/**
	 * How long hosts may try to claim through the log before a standby assumes ownership.
	 */
	private static final long STANDBY_DELAY_MILLIS = 250;

	/**
	 * How long a failure domain must have no reachable owner before a host of another one
	 * claims its pool; longer than the restart of its hosts.
	 */
	private static final long LOST_HOSTS_DELAY_MILLIS = 4_000;

	/** How long after its claim a new owner need not be reachable for all hosts. */
	private static final long NEW_OWNER_GRACE_MILLIS = 800;

	private final MemberRecord self;

	ClaimRule(MemberRecord self) {
		this.self = self;
	}

	/**
	 * Returns whether this host should claim a pool now.
	 * @param situation the state of the pool and the site
	 * @return whether to claim the pool
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
	 * Returns whether this host should claim the pool of another failure domain of which
	 * no host is reachable, if its endpoints are. Without them the failure domain may be
	 * partitioned, and its own hosts go on.
	 * @param situation the state of the pool and the site
	 * @return whether to claim the pool if its endpoints are reachable
	 */
	boolean shouldClaimWithoutItsHosts(Situation situation) {
		boolean local = situation.domain().equals(this.self.domain());
		if (local || !situation.singleOwnerSite() || mustKeepOwner(situation)
				|| hasReachableMemberInDomain(situation)) {
			return false;
		}
		return situation.ownerUnreachableMillis() >= LOST_HOSTS_DELAY_MILLIS + claimRank(situation) * RANK_DELAY_MILLIS;
	}

	/**
	 * Returns whether this host, a standby, should assume ownership of the pool of its
	 * failure domain without a new claim in the log.
	 * @param situation the state of the pool and the site; it must have a claim that
	 * names this host as standby
	 * @return whether to assume ownership now
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

	// This host owned the pool before its restart, and no other host has claimed it
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
	 * The state of a pool and of the site, as seen by this host.
	 *
	 * @param domain the failure domain, which the pool is named after
	 * @param claim the newest claim, or {@code null} if there is none
	 * @param claimAgeMillis how long ago this host received that claim, in milliseconds
	 * @param ownerReachable whether this host has recent contact with the owner
	 * @param ownerReachableByPeers whether a peer reports recent contact with the owner
	 * @param discoveryComplete whether this host has run long enough to have received a
	 * report of each running peer
	 * @param ownerUnreachableMillis for how long there has been no contact with the
	 * owner, in milliseconds
	 * @param singleOwnerSite whether one host should own all pools
	 * @param hasPeersInDomain whether the failure domain has other members, reachable or
	 * not
	 * @param reachableMembers the other members that are reachable and not stopping
	 * @param ownerHostNames the names of the reachable hosts that own a pool
	 */
	record Situation(String domain, PoolClaim claim, long claimAgeMillis, boolean ownerReachable,
			boolean ownerReachableByPeers, boolean discoveryComplete, long ownerUnreachableMillis,
			boolean singleOwnerSite, boolean hasPeersInDomain, List<MemberRecord> reachableMembers,
			List<String> ownerHostNames) {
	}

}
