package org.masticwick.core.pool;

/**
 * The terms that a queue grants to a job: its limits and objectives.
 *
 * @param queue the name of the queue
 * @param service the service whose endpoints run the tasks
 * @param priority the priority, 0 is the highest
 * @param maxAttempts how often a task may fail before its job has failed
 * @param stretch the multiple of the expected run time that a job may take to be on time
 * @param targetLatencyMillis the additional time that a job may take to be on time, in
 * milliseconds
 * @param budgetMillis how long the caller waits from now on, in milliseconds
 * @param versionNumber the version that contains the terms
 * @param waitedMillis how long the caller has waited until now, in milliseconds, or
 * {@link #UNKNOWN_WAIT}
 */
public record JobTerms(String queue, String service, int priority, int maxAttempts, double stretch,
		long targetLatencyMillis, long budgetMillis, long versionNumber, long waitedMillis) {

	/** The caller's host, of an earlier version, does not tell how long it has waited. */
	public static final long UNKNOWN_WAIT = -1;

	/**
	 * Creates terms for a caller who has waited for an unknown time.
	 * @param queue the name of the queue
	 * @param service the service whose endpoints run the tasks
	 * @param priority the priority, 0 is the highest
	 * @param maxAttempts how often a task may fail before its job has failed
	 * @param stretch the multiple of the expected run time that a job may take to be on
	 * time
	 * @param targetLatencyMillis the additional time that a job may take to be on time,
	 * in milliseconds
	 * @param budgetMillis how long the caller waits from now on, in milliseconds
	 * @param versionNumber the version that contains the terms
	 */
	public JobTerms(String queue, String service, int priority, int maxAttempts, double stretch,
			long targetLatencyMillis, long budgetMillis, long versionNumber) {
		this(queue, service, priority, maxAttempts, stretch, targetLatencyMillis, budgetMillis, versionNumber,
				UNKNOWN_WAIT);
	}

	/**
	 * Returns these terms after a further wait of the caller.
	 * @param furtherMillis how long the caller has waited since, in milliseconds
	 * @return the terms, with a budget of at least one millisecond
	 */
	public JobTerms afterWait(long furtherMillis) {
		long remainingMillis = Math.max(1, this.budgetMillis - furtherMillis);
		long totalMillis = (this.waitedMillis < 0) ? UNKNOWN_WAIT : this.waitedMillis + furtherMillis;
		return new JobTerms(this.queue, this.service, this.priority, this.maxAttempts, this.stretch,
				this.targetLatencyMillis, remainingMillis, this.versionNumber, totalMillis);
	}

}
