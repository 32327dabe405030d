package org.masticwick.core.pool;

import java.util.List;

/**
 * Decides which jobs that have not started are refused when a job is submitted.
 */
interface AdmissionPolicy {

	/**
	 * Selects the jobs to refuse.
	 * @param job the submitted job, which is in the queue already
	 * @param queue the jobs with tasks to start
	 * @param capacity the capacity of the pool
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the refusals, of the submitted job and of others; empty if all can start in
	 * time
	 */
	List<Refusal> select(PooledJob job, JobQueue queue, PoolCapacity capacity, long nowMillis);

	/**
	 * Returns whether a waiting job that has not started is refused in favour of jobs
	 * that can be on time.
	 * @param job the job
	 * @param backlogMillis how long the pool needs for all waiting jobs, in milliseconds
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return whether to refuse the job
	 */
	boolean shouldCancelWaiting(PooledJob job, double backlogMillis, long nowMillis);

	/**
	 * Returns whether jobs of priority 0 and started ones get free capacity before the
	 * others, because not all can start in time.
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return whether they precede the others
	 */
	default boolean isUrgentFirst(long nowMillis) {
		return false;
	}

	/**
	 * Records a submission.
	 * @param job the job
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	default void submitted(PooledJob job, long nowMillis) {
	}

	/**
	 * Records that the first task of a job is being started.
	 * @param job the job
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	default void started(PooledJob job, long nowMillis) {
	}

	/**
	 * Records a refusal.
	 * @param job the job
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	default void refused(PooledJob job, long nowMillis) {
	}

}
