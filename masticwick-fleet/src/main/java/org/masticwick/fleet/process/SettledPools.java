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
	 * Returns whether this owner knows of all jobs that are assigned to a pool.
	 * @param pool the name of the pool
	 * @param nowMillis the time in milliseconds
	 * @return whether it does
	 */
	boolean contains(String pool, long nowMillis) {
		return nowMillis - this.assumedMillis.getOrDefault(pool, nowMillis) >= SETTLING_MILLIS
				&& nowMillis - this.lastPauseMillis >= SETTLING_MILLIS && this.owners.isContactSettled();
	}

}
