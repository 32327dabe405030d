package org.masticwick.core.pool;

/**
 * Settings of the scheduler of a pool.
 *
 * @param responseTimeoutMillis after how long without an answer an endpoint gets no
 * tasks, in milliseconds
 * @param stopLatencyMillis how long an endpoint takes to stop a run, in milliseconds
 * @param stopRetryMillis after how long a stop without effect is ordered again, in
 * milliseconds
 * @param usableShare the part of the capacity that can be filled, as tasks don't fit
 * without gaps
 * @param orphanedRunMaxMillis after how long a run on an endpoint that another owner
 * orders is certainly over, in milliseconds
 */
public record PoolSettings(long responseTimeoutMillis, long stopLatencyMillis, long stopRetryMillis, double usableShare,
		long orphanedRunMaxMillis) {

	/** Two renewals of a lease and the time for one answer. */
	private static final long DEFAULT_SILENCE_LIMIT_MILLIS = 450;

	/** From the platform's contract with its endpoints. */
	private static final long DEFAULT_STOP_MILLIS = 50;

	private static final long DEFAULT_STOP_RETRY_MILLIS = 120;

	/** Two tasks of 27 cores on 64. */
	private static final double DEFAULT_USABLE_SHARE = 0.84;

	/** The longest lease, and as long again for an owner to notice. */
	private static final long DEFAULT_STRAY_RUN_MILLIS = 2_000;

	/**
	 * Returns the default settings.
	 * @return the settings
	 */
	public static PoolSettings defaults() {
		return new PoolSettings(DEFAULT_SILENCE_LIMIT_MILLIS, DEFAULT_STOP_MILLIS, DEFAULT_STOP_RETRY_MILLIS,
				DEFAULT_USABLE_SHARE, DEFAULT_STRAY_RUN_MILLIS);
	}

}
