package org.masticwick.fleet.process;

import java.util.List;

/**
 * The newest claim on a pool. It names hosts of the failure domain that may order the
 * endpoints when they do not hear the owner, each with a fencing token of its own, so
 * that a failure domain goes on when it is cut off from the shared log too.
 *
 * @param pool the pool
 * @param owner who claims it, or {@code null} if the last owner has let go of it
 * @param fencingToken the token of the owner, which grows from claim to claim
 * @param standbyHostNames the names of the deputies, in the order of their turns
 */
record PoolClaim(String pool, MemberRecord owner, long fencingToken, List<String> standbyHostNames) {

	/** How many tokens belong to one claim: that of the owner, and those of deputies. */
	private static final long TOKENS_PER_CLAIM = 16;

	/** How many deputies a claim can have. */
	static final int MAX_STANDBYS = (int) TOKENS_PER_CLAIM - 1;

	PoolClaim {
		standbyHostNames = List.copyOf(standbyHostNames);
	}

	/**
	 * Derives the owner's token from the place of the claim in the log, which only grows.
	 * @param offset the offset of the claim
	 * @return the token, at least 1
	 */
	static long tokenAt(long offset) {
		return (offset + 1) * TOKENS_PER_CLAIM;
	}

	/**
	 * Returns the turn of a deputy.
	 * @param hostName the host
	 * @return the turn from 0, or a negative number if the host is no deputy
	 */
	int standbyRank(String hostName) {
		return this.standbyHostNames.indexOf(hostName);
	}

	/**
	 * Returns the claim with which a deputy takes over.
	 * @param standby the deputy
	 * @return the claim, whose token only this deputy uses
	 */
	PoolClaim forStandby(MemberRecord standby) {
		long claimToken = this.fencingToken - this.fencingToken % TOKENS_PER_CLAIM;
		return new PoolClaim(this.pool, standby, claimToken + 1 + standbyRank(standby.hostName()),
				this.standbyHostNames);
	}

}
