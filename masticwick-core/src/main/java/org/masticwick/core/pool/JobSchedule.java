package org.masticwick.core.pool;

/**
 * When the steps of a job run.
 *
 * @param count how many times
 * @param firstEpochMillis when the first occurrence is due, in milliseconds since 1970,
 * or 0 for at once
 * @param intervalMillis how long after an occurrence the next one is due, in milliseconds
 */
public record JobSchedule(int count, long firstEpochMillis, long intervalMillis) {

	/** Once, and at once. */
	public static final JobSchedule IMMEDIATE = new JobSchedule(1, 0, 0);

	/**
	 * Returns when an occurrence is due.
	 * @param occurrence its number, from 0
	 * @return the time in milliseconds since 1970
	 */
	public long dueEpochMillis(int occurrence) {
		return this.firstEpochMillis + occurrence * this.intervalMillis;
	}

	/**
	 * Returns whether the job has times of its own.
	 * @return whether it is not simply run at once
	 */
	public boolean isTimed() {
		return this.firstEpochMillis > 0;
	}

}
