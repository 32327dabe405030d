package org.masticwick.core.request.internal;

/**
 * Withholds the last free slots from jobs with many queued tasks, so that a small job
 * finds a free slot on arrival. The reserve shrinks with the expected queue wait and with
 * the time for which it has withheld slots, so that it costs no throughput under overload
 * and delays no job for long.
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
	 * Returns whether the free slots are withheld from a job.
	 * @param job the job
	 * @param availableSlotCount the estimated number of free slots
	 * @param slotCount the number of slots that this host can expect to use
	 * @param waitNanos the expected queue wait of a new job, in nanoseconds
	 * @param nowNanos the current time
	 * @return {@code true} if no task of the job may start now
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
