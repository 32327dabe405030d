package org.masticwick.core.pool;

/**
 * Tells which numbers an owner may give to runs of the durable jobs of a pool. A run that
 * has started is not in the log before it ends, so the next owner can't know the numbers
 * that are in use. Numbers are therefore reserved in the log in ranges, before they are
 * used, and each owner that continues jobs of a previous one uses a range of its own.
 */
final class RunNumbers {

	/** How many runs of one task an owner can start before it reserves more numbers. */
	static final int RANGE_LENGTH = 1_000;

	/** The largest number of ranges, so that all numbers fit an int. */
	static final int MAX_RANGES = Integer.MAX_VALUE / RANGE_LENGTH - 1;

	private final int previousRangeCount;

	private int storedRangeCount;

	private int requestedRangeCount;

	private boolean needed;

	/**
	 * Creates the numbers of an owner that has read the log.
	 * @param previousRangeCount the number of ranges that previous owners have reserved
	 * beyond the first one, which needs no reservation
	 */
	RunNumbers(int previousRangeCount) {
		this.previousRangeCount = previousRangeCount;
		this.storedRangeCount = previousRangeCount;
		this.requestedRangeCount = previousRangeCount;
	}

	/**
	 * Returns the numbers of a job that this owner has accepted.
	 * @return the numbers, from 1
	 */
	JobRunNumbers ofNewJob() {
		return new JobRunNumbers(0, this::isReserved);
	}

	/**
	 * Returns the numbers of a job that previous owners may have run.
	 * @return the numbers, from the first one that none of them can have used
	 */
	JobRunNumbers ofRecoveredJob() {
		this.needed |= this.storedRangeCount == this.previousRangeCount;
		return new JobRunNumbers((this.previousRangeCount + 1) * RANGE_LENGTH, this::isReserved);
	}

	private boolean isReserved(int number) {
		boolean reserved = number <= (this.storedRangeCount + 1) * RANGE_LENGTH;
		this.needed |= !reserved;
		return reserved;
	}

	/**
	 * Returns whether numbers are needed that are not reserved, and that no pending
	 * reservation includes.
	 * @return whether to reserve a range
	 */
	boolean needsRange() {
		return this.needed && this.requestedRangeCount == this.storedRangeCount
				&& this.requestedRangeCount < MAX_RANGES;
	}

	/**
	 * Adds a range to those to be stored.
	 * @return the number of ranges to store
	 */
	int requestRange() {
		this.requestedRangeCount++;
		return this.requestedRangeCount;
	}

	/**
	 * Records that the log has stored a reservation.
	 * @param rangeCount the number of reserved ranges
	 */
	void stored(int rangeCount) {
		this.storedRangeCount = Math.max(this.storedRangeCount, rangeCount);
		this.needed = false;
	}

}
