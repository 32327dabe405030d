package org.masticwick.core.request.internal;

/**
 * Keeps the last free slots from jobs that still have many tasks waiting, so that a small
 * job finds a free slot when it comes. The reserve shrinks as more work waits and as
 * nothing is started from it, so that it costs no throughput under overload and delays no
 * job for long.
 */
final class SmallJobReserve {

	private static final int MIN_LARGE_JOB_TASK_COUNT = 3;

	private static final int MAX_RESERVED_COUNT = 2;

	private static final int SLOTS_PER_RESERVED_COUNT = 10;

	private static final double ZERO_RESERVE_WAIT_NANOS = 800 * TimeMath.NANOS_PER_MILLI;

	private static final double ZERO_RESERVE_WITHHOLD_NANOS = 500 * TimeMath.NANOS_PER_MILLI;

	private boolean withholding;

	private long withholdingSinceNanos;

	/**
	 * Decides whether a job has to leave the free slots alone.
	 * @param job the job
	 * @param availableSlotCount the free slots, by estimate
	 * @param slotCount the slots that this host may count on
	 * @param waitNanos the expected wait of a job that arrives now, in nanoseconds
	 * @param nowNanos the time
	 * @return {@code true} if the job waits for now
	 */
	boolean withholds(JobEntry job, double availableSlotCount, double slotCount, double waitNanos, long nowNanos) {
		if (job.queuedCount() < MIN_LARGE_JOB_TASK_COUNT) {
			return false;
		}
		double reservedCount = Math.floor(Math.min(MAX_RESERVED_COUNT, slotCount / SLOTS_PER_RESERVED_COUNT));
		double withheldNanos = this.withholding ? (nowNanos - this.withholdingSinceNanos) : 0;
		double reserveFraction = 1
				- Math.max(waitNanos / ZERO_RESERVE_WAIT_NANOS, withheldNanos / ZERO_RESERVE_WITHHOLD_NANOS);
		boolean withheld = reservedCount * reserveFraction > 0
				&& availableSlotCount < 1 + reservedCount * reserveFraction;
		if (withheld && !this.withholding) {
			this.withholdingSinceNanos = nowNanos;
		}
		this.withholding = withheld;
		return withheld;
	}

}
