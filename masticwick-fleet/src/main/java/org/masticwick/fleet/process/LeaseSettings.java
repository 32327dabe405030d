package org.masticwick.fleet.process;

/**
 * The durations of leases of endpoints and of their renewals. The sum of the timeout
 * between entry hosts, of a lease by the slowest clock and of the time to stop a run
 * stays below the time after which callers resubmit a job; see docs/design/PLATFORM.md.
 *
 * @param leaseMillis the duration of a lease, in milliseconds
 * @param maxGrantedMillis the duration to which an endpoint shortens a longer lease, in
 * milliseconds
 * @param busyWaitMillis how long a renewal waits for a termination while tasks run, in
 * milliseconds
 * @param idleWaitMillis how long a renewal waits while no task runs, in milliseconds
 * @param timeoutMarginMillis how long the answer to a renewal may take beyond its wait,
 * in milliseconds
 * @param clockDrift by which fraction the clock of an endpoint may be slower than that of
 * this host
 */
public record LeaseSettings(long leaseMillis, long maxGrantedMillis, long busyWaitMillis, long idleWaitMillis,
		long timeoutMarginMillis, double clockDrift) {

	private static final long DEFAULT_LEASE_MILLIS = 650;

	/** The longest lease in the platform's contract with its endpoints. */
	private static final long DEFAULT_MAX_GRANTED_MILLIS = 1_000;

	private static final long DEFAULT_BUSY_WAIT_MILLIS = 150;

	private static final long DEFAULT_IDLE_WAIT_MILLIS = 400;

	private static final long DEFAULT_MARGIN_MILLIS = 100;

	/** The bound in the platform's contract with its endpoints. */
	private static final double DEFAULT_CLOCK_DRIFT = 0.02;

	/**
	 * Returns the default settings.
	 * @return the settings
	 */
	public static LeaseSettings defaults() {
		return new LeaseSettings(DEFAULT_LEASE_MILLIS, DEFAULT_MAX_GRANTED_MILLIS, DEFAULT_BUSY_WAIT_MILLIS,
				DEFAULT_IDLE_WAIT_MILLIS, DEFAULT_MARGIN_MILLIS, DEFAULT_CLOCK_DRIFT);
	}

	/**
	 * Returns after how long without a renewal a lease has expired by any endpoint's
	 * clock.
	 * @return the time in milliseconds
	 */
	long maxLeaseMillis() {
		return expiryMillis(this.leaseMillis);
	}

	/**
	 * Returns after how long without a renewal a lease has expired by any endpoint's
	 * clock, if its end may be by the clock of another incarnation, so that the endpoint
	 * may have shortened it to the longest that it grants.
	 * @return the time in milliseconds
	 */
	long maxShortenedLeaseMillis() {
		return expiryMillis(this.maxGrantedMillis);
	}

	private long expiryMillis(long durationMillis) {
		return (long) (durationMillis * (1 + this.clockDrift)) + this.timeoutMarginMillis;
	}

}
