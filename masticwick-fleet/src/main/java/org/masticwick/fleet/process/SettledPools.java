package org.masticwick.fleet.process;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells for which pools an owner knows of all jobs that it has to register, as no other
 * owner can have run one without its knowledge.
 */
final class SettledPools {

	/**
	 * How long an owner must have owned a pool, without a pause, and been in contact with
	 * the other owners, in milliseconds; longer than a job usually takes that was started
	 * without its knowledge.
	 */
	static final long SETTLING_MILLIS = 5_000;

	private final SiteOwners owners;

	private final Map<String, Long> assumedMillis = new HashMap<>();

	private long lastPauseMillis = Long.MIN_VALUE / 2;

	SettledPools(SiteOwners owners) {
		this.owners = owners;
	}

	void poolAssumed(String pool, long nowMillis) {
		this.assumedMillis.put(pool, nowMillis);
	}

	void paused(long nowMillis) {
		this.lastPauseMillis = nowMillis;
	}

	/**
	 * Returns since when this owner has known of all jobs that are assigned to a pool.
	 * @param pool the name of the pool
	 * @return the time in milliseconds, in the future if it does not, or
	 * {@link Long#MAX_VALUE} if it is not foreseeable
	 */
	long settledSinceMillis(String pool) {
		Long poolAssumedMillis = this.assumedMillis.get(pool);
		long contactSinceMillis = this.owners.contactSinceMillis();
		if (poolAssumedMillis == null || contactSinceMillis == Long.MAX_VALUE) {
			return Long.MAX_VALUE;
		}
		long undisturbedSinceMillis = Math.max(this.lastPauseMillis, contactSinceMillis);
		return SETTLING_MILLIS + Math.max(poolAssumedMillis, undisturbedSinceMillis);
	}

}
