package org.masticwick.core.pool;

/**
 * Spreads the returns of refused callers over the capacity that the usual load leaves, so
 * that they do not return all at once. A caller of a higher priority gets an earlier
 * time.
 */
final class RetrySchedule {

	static final long MIN_RETRY_MILLIS = 500;

	/** The latest return, in milliseconds. */
	static final long MAX_RETRY_MILLIS = 60_000;

	private static final long SLOT_MILLIS = 100;

	/**
	 * The smallest share of the usable capacity that is given to returning callers, so
	 * that some return while the usual load leaves nothing.
	 */
	private static final double MIN_SPARE_SHARE = 0.05;

	/** The work booked in each slot, from now on, as a ring. */
	private final double[] bookedWork = new double[(int) (MAX_RETRY_MILLIS / SLOT_MILLIS)];

	/** The number of the first slot of the ring, counted from time 0. */
	private long firstSlot = Long.MIN_VALUE / 2;

	private int overflowCount;

	/**
	 * Books the return of a refused caller.
	 * @param priority the priority of the job
	 * @param work the work of the job in thousandths of a core times milliseconds
	 * @param capacity the capacity of the pool
	 * @param spareShare the share of the capacity that the usual load leaves
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the time after which the caller returns, in milliseconds; without capacity,
	 * the shortest one
	 */
	long book(int priority, double work, PoolCapacity capacity, double spareShare, long nowMillis) {
		if (capacity.usableMillicores() <= 0) {
			return MIN_RETRY_MILLIS;
		}
		advance(Math.floorDiv(nowMillis, SLOT_MILLIS));
		double share = Math.max(MIN_SPARE_SHARE * capacity.usableShare(), spareShare);
		double slotWork = capacity.totalMillicores() * share * SLOT_MILLIS * reachableShare(priority);
		long earliestMillis = nowMillis + MIN_RETRY_MILLIS;
		for (long slot = Math.floorDiv(earliestMillis, SLOT_MILLIS) + 1; slot < endSlot(); slot++) {
			double booked = this.bookedWork[index(slot)];
			if (booked < slotWork) {
				bookFrom(slot, work, slotWork);
				return slot * SLOT_MILLIS + (long) (SLOT_MILLIS * booked / slotWork) - nowMillis;
			}
		}
		// All slots are full: returns are spread over the second half of the range.
		this.overflowCount = (this.overflowCount + 1) % (this.bookedWork.length / 2);
		return MAX_RETRY_MILLIS - this.overflowCount * SLOT_MILLIS;
	}

	private void bookFrom(long firstBookedSlot, double work, double slotWork) {
		double remainingWork = work;
		for (long slot = firstBookedSlot; remainingWork > 0 && slot < endSlot(); slot++) {
			double part = Math.min(remainingWork, Math.max(0, slotWork - this.bookedWork[index(slot)]));
			this.bookedWork[index(slot)] += part;
			remainingWork -= part;
		}
	}

	private long endSlot() {
		return this.firstSlot + this.bookedWork.length;
	}

	private int index(long slot) {
		return Math.floorMod(slot, this.bookedWork.length);
	}

	/**
	 * Returns the share of a slot that a priority may fill. Lower priorities leave a part
	 * to those that come later with a higher one.
	 * @param priority the priority
	 * @return the share, from 0.5 to 1
	 */
	private static double reachableShare(int priority) {
		return (1 + Math.pow(2, -Math.max(0, priority))) / 2;
	}

	private void advance(long slot) {
		long passedCount = Math.min(this.bookedWork.length, slot - this.firstSlot);
		for (long passed = 0; passed < passedCount; passed++) {
			this.bookedWork[index(slot - 1 - passed)] = 0;
		}
		this.firstSlot = Math.max(this.firstSlot, slot);
	}

}
