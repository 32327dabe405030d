package org.masticwick.core.pool;

/**
 * Keeps durable jobs in the shared log and answers those who wait for that. No method may
 * call the jobs back before it returns.
 */
public interface DurableJobActions {

	/**
	 * Writes what a job is.
	 * @param pool the pool that the job belongs to
	 * @param job the job
	 */
	void writeDefinition(String pool, DurableJob job);

	/**
	 * Writes how far a job is; a later call for the same job replaces one that was not
	 * carried out yet. {@link DurableJobs#progressStored} tells when that is done.
	 * @param pool the pool that the job belongs to
	 * @param jobId the job
	 * @param revision the number of the change
	 */
	void writeProgress(String pool, String jobId, long revision);

	/**
	 * Removes a job that has ended.
	 * @param pool the pool that the job belongs to
	 * @param jobId the job
	 * @param includingProgress whether its state need not be told any more either
	 */
	void remove(String pool, String jobId, boolean includingProgress);

	/**
	 * Takes note that the shared log has an end.
	 * @param termination the end
	 */
	void terminationStored(TerminationId termination);

	/**
	 * Answers who submitted a job.
	 * @param origin who waits
	 * @param jobId the job
	 * @param outcome the answer
	 */
	void answer(JobOrigin origin, String jobId, JobOutcome outcome);

	/**
	 * Answers who cancelled a job, as it has ended.
	 * @param jobId the job
	 */
	void answerCancellation(String jobId);

}
