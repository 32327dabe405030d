package org.masticwick.core.pool;

/**
 * Settings of the scheduler of a pool.
 *
 * @param responseTimeoutMillis the time without an answer after which an endpoint gets no
 * tasks, in milliseconds
 * @param stopLatencyMillis how long an endpoint takes at most to stop a run, in
 * milliseconds
 * @param stopRetryMillis the time after which a stop request without effect is sent
 * again, in milliseconds
 * @param orphanedRunMaxMillis the time after which a run on an endpoint that another
 * owner has taken has certainly terminated, in milliseconds
 * @param leaseMaxMillis the time after its last renewal after which a lease has certainly
 * expired, in milliseconds
 */
public record PoolSettings(long responseTimeoutMillis, long stopLatencyMillis, long stopRetryMillis,
		long orphanedRunMaxMillis, long leaseMaxMillis) {

	/** Two intervals of lease renewal and the time for one answer. */
	private static final long DEFAULT_RESPONSE_TIMEOUT_MILLIS = 450;

	/** The limit in the platform's contract with its endpoints. */
	private static final long DEFAULT_STOP_LATENCY_MILLIS = 50;

	private static final long DEFAULT_STOP_RETRY_MILLIS = 120;

	/** The longest lease, and the same time again for an owner to notice its expiry. */
	private static final long DEFAULT_ORPHANED_RUN_MAX_MILLIS = 2_000;

	/** A lease of 650 ms by a clock that is 2% slow, and 100 ms for the answer. */
	private static final long DEFAULT_LEASE_MAX_MILLIS = 763;

	/**
	 * Returns the default settings.
	 * @return the settings
	 */
	public static PoolSettings defaults() {
		return new PoolSettings(DEFAULT_RESPONSE_TIMEOUT_MILLIS, DEFAULT_STOP_LATENCY_MILLIS, DEFAULT_STOP_RETRY_MILLIS,
				DEFAULT_ORPHANED_RUN_MAX_MILLIS, DEFAULT_LEASE_MAX_MILLIS);
	}

}
