package org.masticwick.fleet.process;

/**
 * How leases of endpoints are kept. The sum of the silence limit between entry hosts, of
 * a lease by the slowest clock and of a stop stays below the time after which a caller
 * submits a job again; docs/design/PLATFORM.md has the sum.
 *
 * @param leaseMillis how long a lease is, in milliseconds
 * @param busyWaitMillis how long a renewal waits for an end while tasks run, in
 * milliseconds
 * @param idleWaitMillis how long it waits while none runs, in milliseconds
 * @param timeoutMarginMillis what an answer may take beyond that, in milliseconds
 * @param clockDrift how much slower than ours an endpoint's clock may be, as a share
 */
public record LeaseSettings(long leaseMillis, long busyWaitMillis, long idleWaitMillis, long timeoutMarginMillis,
		double clockDrift) {

	private static final long DEFAULT_LEASE_MILLIS = 650;

	private static final long DEFAULT_BUSY_WAIT_MILLIS = 150;

	private static final long DEFAULT_IDLE_WAIT_MILLIS = 400;

	private static final long DEFAULT_MARGIN_MILLIS = 100;

	/** From the platform's contract with its endpoints. */
	private static final double DEFAULT_CLOCK_DRIFT = 0.02;

	/**
	 * Returns the default settings.
	 * @return the settings
	 */
	public static LeaseSettings defaults() {
		return new LeaseSettings(DEFAULT_LEASE_MILLIS, DEFAULT_BUSY_WAIT_MILLIS, DEFAULT_IDLE_WAIT_MILLIS,
				DEFAULT_MARGIN_MILLIS, DEFAULT_CLOCK_DRIFT);
	}

	/**
	 * Returns how long after its last renewal a lease may last at most.
	 * @return the time in milliseconds
	 */
	long maxLeaseMillis() {
		return (long) (this.leaseMillis * (1 + this.clockDrift)) + this.timeoutMarginMillis;
	}

}
