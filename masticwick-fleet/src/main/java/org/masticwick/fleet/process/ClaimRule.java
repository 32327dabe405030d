package org.masticwick.fleet.process;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Decides whether this host should claim a pool. The first by name of the hosts that live
 * in the failure domain claims it; who claims at the same time is told apart by the
 * shared log, and orders of an owner that is not one any more are refused by the
 * endpoints.
 */
final class ClaimRule {

	private final MemberRecord self;

	ClaimRule(MemberRecord self) {
		this.self = self;
	}

	/**
	 * Decides.
	 * @param situation what is known
	 * @return whether to claim the pool
	 */
	boolean shouldClaim(Situation situation) {
		PoolClaim claim = situation.claim();
		if (claim != null && claim.owner() != null && ownerStays(claim.owner(), situation)) {
			return false;
		}
		return isFirst(situation.livingMembers());
	}

	private boolean ownerStays(MemberRecord owner, Situation situation) {
		if (owner.hostName().equals(this.self.hostName())) {
			return owner.incarnation().equals(this.self.incarnation());
		}
		return situation.ownerHeard() || situation.ownerHeardByOthers() || !situation.settled();
	}

	private boolean isFirst(List<MemberRecord> living) {
		return Stream.concat(Stream.of(this.self), living.stream())
			.min(Comparator.comparing(MemberRecord::hostName))
			.filter((first) -> first.hostName().equals(this.self.hostName()))
			.isPresent();
	}

	/**
	 * What is known of a pool and its failure domain.
	 *
	 * @param claim the newest claim, or {@code null} if there was none
	 * @param ownerHeard whether this host hears the owner
	 * @param ownerHeardByOthers whether a peer says that it hears the owner
	 * @param settled whether this host has run long enough to have heard those that live
	 * @param livingMembers the other members of the failure domain that are heard and
	 * stay
	 */
	record Situation(PoolClaim claim, boolean ownerHeard, boolean ownerHeardByOthers, boolean settled,
			List<MemberRecord> livingMembers) {
	}

}
