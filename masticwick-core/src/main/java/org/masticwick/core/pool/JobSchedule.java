package org.masticwick.core.pool;

/**
 * The times at which a job runs.
 *
 * @param count the number of occurrences
 * @param firstEpochMillis when the first occurrence is due, in milliseconds since 1970,
 * or 0 for immediately
 * @param intervalMillis the time between the due times of consecutive occurrences, in
 * milliseconds
 */
public record JobSchedule(int count, long firstEpochMillis, long intervalMillis) {

	/** One occurrence that runs immediately. */
	public static final JobSchedule IMMEDIATE = new JobSchedule(1, 0, 0);

	/**
	 * Returns when an occurrence is due.
	 * @param occurrence the number of the occurrence, from 0
	 * @return the time in milliseconds since 1970
	 */
	public long dueEpochMillis(int occurrence) {
		return this.firstEpochMillis + occurrence * this.intervalMillis;
	}

	/**
	 * Returns whether the job has a first due time.
	 * @return whether its occurrences have fixed due times
	 */
	public boolean isTimed() {
		return this.firstEpochMillis > 0;
	}

}
