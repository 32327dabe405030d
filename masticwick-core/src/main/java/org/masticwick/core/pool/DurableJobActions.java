package org.masticwick.core.pool;

/**
 * Stores durable jobs in the shared log and answers the callers that wait for that. No
 * method may call {@link DurableJobs} before it returns.
 */
public interface DurableJobActions {

	/**
	 * Writes the definition of a job.
	 * @param pool the pool that the job is assigned to
	 * @param job the job
	 */
	void writeDefinition(String pool, DurableJob job);

	/**
	 * Writes the progress of a job. A later call for the same job replaces a pending one.
	 * {@link DurableJobs#progressStored} must be called when the write is complete.
	 * @param pool the pool that the job is assigned to
	 * @param jobId the id of the job
	 * @param revision the revision of the progress
	 */
	void writeProgress(String pool, String jobId, long revision);

	/**
	 * Writes how many ranges of run numbers are reserved for a pool.
	 * {@link DurableJobs#runNumbersStored} must be called when the write is complete.
	 * @param pool the pool
	 * @param rangeCount the number of reserved ranges, which replaces the previous one
	 */
	void reserveRunNumbers(String pool, int rangeCount);

	/**
	 * Removes a finished job from the shared log.
	 * @param pool the pool that the job is assigned to
	 * @param jobId the id of the job
	 * @param includingProgress whether to remove the final state too, which is no longer
	 * queried
	 */
	void remove(String pool, String jobId, boolean includingProgress);

	/**
	 * Writes that a job was cancelled that is unknown. {@link #answerCancellation} must
	 * be called when the write is complete.
	 * @param pool the pool that the job is assigned to
	 * @param jobId the id of the job
	 * @param cancelledEpochMillis when it was cancelled, in milliseconds since 1970
	 */
	void writeEarlyCancellation(String pool, String jobId, long cancelledEpochMillis);

	/**
	 * Removes the cancellation of an unknown job from the shared log.
	 * @param pool the pool that the job is assigned to
	 * @param jobId the id of the job
	 */
	void removeEarlyCancellation(String pool, String jobId);

	/**
	 * Reports that a termination is stored in the shared log, so that the endpoint may
	 * discard it.
	 * @param termination the termination
	 */
	void terminationStored(TerminationId termination);

	/**
	 * Answers the submission of a job.
	 * @param origin the entry host and the call that wait for the answer
	 * @param jobId the id of the job
	 * @param outcome the answer
	 */
	void answer(JobOrigin origin, String jobId, JobOutcome outcome);

	/**
	 * Answers the callers that wait for the cancellation of a job, because it has
	 * finished, or will never run if it was unknown.
	 * @param jobId the id of the job
	 */
	void answerCancellation(String jobId);

}
