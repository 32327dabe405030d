package org.masticwick.core.request.internal;

/**
 * Keeps the last free slots from jobs that still have many tasks waiting, so that a small
 * job finds a free slot when it comes. The reserve shrinks as more work waits and as
 * nothing is started from it, so that it costs no throughput under overload and delays no
 * job for long.
 */
final class SmallJobReserve {

	private static final int LARGE_TASK_COUNT = 3;

	private static final int MAX_RESERVED_COUNT = 2;

	private static final int SLOTS_PER_RESERVED_COUNT = 10;

	private static final double FULL_WAIT_NANOS = 800 * Times.NANOS_PER_MILLI;

	private static final double FULL_HOLD_NANOS = 500 * Times.NANOS_PER_MILLI;

	private boolean holding;

	private long heldSinceNanos;

	/**
	 * Decides whether a job has to leave the free slots alone.
	 * @param job the job
	 * @param roomCount the free slots, by estimate
	 * @param slotCount the slots that this host may count on
	 * @param waitNanos the expected wait of a job that arrives now, in nanoseconds
	 * @param nowNanos the time
	 * @return {@code true} if the job waits for now
	 */
	boolean holdsBack(JobEntry job, double roomCount, double slotCount, double waitNanos, long nowNanos) {
		if (job.queuedCount() < LARGE_TASK_COUNT) {
			return false;
		}
		double reservedCount = Math.floor(Math.min(MAX_RESERVED_COUNT, slotCount / SLOTS_PER_RESERVED_COUNT));
		double heldNanos = this.holding ? (nowNanos - this.heldSinceNanos) : 0;
		double part = 1 - Math.max(waitNanos / FULL_WAIT_NANOS, heldNanos / FULL_HOLD_NANOS);
		boolean held = reservedCount * part > 0 && roomCount < 1 + reservedCount * part;
		if (held && !this.holding) {
			this.heldSinceNanos = nowNanos;
		}
		this.holding = held;
		return held;
	}

}
