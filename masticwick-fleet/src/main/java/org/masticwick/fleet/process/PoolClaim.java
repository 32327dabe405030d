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
 * @param deputies the names of the deputies, in the order of their turns
 */
record PoolClaim(String pool, MemberRecord owner, long fencingToken, List<String> deputies) {

	/** How many tokens belong to one claim: that of the owner, and those of deputies. */
	private static final long TOKENS_OF_CLAIM = 16;

	/** How many deputies a claim can have. */
	static final int MAX_DEPUTIES = (int) TOKENS_OF_CLAIM - 1;

	PoolClaim {
		deputies = List.copyOf(deputies);
	}

	/**
	 * Derives the owner's token from the place of the claim in the log, which only grows.
	 * @param offset the offset of the claim
	 * @return the token, at least 1
	 */
	static long tokenAt(long offset) {
		return (offset + 1) * TOKENS_OF_CLAIM;
	}

	/**
	 * Returns the turn of a deputy.
	 * @param hostName the host
	 * @return the turn from 0, or a negative number if the host is no deputy
	 */
	int turnOf(String hostName) {
		return this.deputies.indexOf(hostName);
	}

	/**
	 * Returns the claim with which a deputy takes over.
	 * @param deputy the deputy
	 * @return the claim, whose token only this deputy uses
	 */
	PoolClaim of(MemberRecord deputy) {
		long base = this.fencingToken - this.fencingToken % TOKENS_OF_CLAIM;
		return new PoolClaim(this.pool, deputy, base + 1 + turnOf(deputy.hostName()), this.deputies);
	}

}
