package org.masticwick.fleet.process;

import java.util.List;

/**
 * A claim of a pool. It names standbys, hosts of the failure domain that may assume
 * ownership while the owner is unreachable, each with a fencing token of its own, so that
 * a failure domain continues to run jobs when it is partitioned from the log too.
 *
 * @param pool the name of the pool
 * @param owner the host that owns the pool, or {@code null} if the last owner has
 * released it
 * @param fencingToken the fencing token of the owner, which grows from claim to claim
 * @param standbyHostNames the names of the standbys, in the order of their ranks
 */
record PoolClaim(String pool, MemberRecord owner, long fencingToken, List<String> standbyHostNames) {

	/**
	 * The number of fencing tokens of one claim: one for the owner, one for each standby.
	 */
	private static final long TOKENS_PER_CLAIM = 16;

	/** The maximum number of standbys of a claim. */
	static final int MAX_STANDBYS = (int) TOKENS_PER_CLAIM - 1;

	PoolClaim {
		standbyHostNames = List.copyOf(standbyHostNames);
	}

	/**
	 * Derives the owner's fencing token from the offset of the claim in the log, which
	 * only grows.
	 * @param offset the offset of the claim
	 * @return the token, at least 1
	 */
	static long tokenAt(long offset) {
		return (offset + 1) * TOKENS_PER_CLAIM;
	}

	/**
	 * Returns the rank of a standby, by which its assumption of ownership is delayed.
	 * @param hostName the name of the host
	 * @return the rank from 0, or a negative number if the host is not a standby
	 */
	int standbyRank(String hostName) {
		return this.standbyHostNames.indexOf(hostName);
	}

	/**
	 * Returns the claim with which a standby assumes ownership.
	 * @param standby the standby
	 * @return the claim, whose fencing token only this standby uses
	 */
	PoolClaim forStandby(MemberRecord standby) {
		long claimToken = this.fencingToken - this.fencingToken % TOKENS_PER_CLAIM;
		return new PoolClaim(this.pool, standby, claimToken + 1 + standbyRank(standby.hostName()),
				this.standbyHostNames);
	}

}
