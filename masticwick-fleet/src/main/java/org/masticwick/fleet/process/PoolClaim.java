package org.masticwick.fleet.process;

/**
 * The newest claim on a pool in the shared log.
 *
 * @param pool the pool
 * @param owner who claims it, or {@code null} if the last owner has let go of it
 * @param fencingToken the token, which grows from claim to claim
 */
record PoolClaim(String pool, MemberRecord owner, long fencingToken) {

	/**
	 * Derives the token from the place of the claim in the log, which only grows.
	 * @param offset the offset of the claim
	 * @return the token, at least 1
	 */
	static long tokenAt(long offset) {
		return offset + 1;
	}

}
