package org.masticwick.fleet.process;

import org.masticwick.core.pool.JobOutcome;

/**
 * The jobs of an owner, as their registration needs them.
 */
interface OwnerJobs {

	/**
	 * Returns whether a job is unanswered, or may still have runs that this owner has
	 * started.
	 * @param jobId the id of the job
	 * @return whether no other owner must run it
	 */
	boolean hasJob(String jobId);

	/**
	 * Returns whether an unknown job may run on this owner's endpoints, as a previous
	 * owner may have started it.
	 * @param jobId the id of the job
	 * @param receivedMillis when its callers' host received it, in milliseconds
	 * @return whether that is still open
	 */
	boolean mayRunByPreviousOwner(String jobId, long receivedMillis);

	/**
	 * Returns whether this process was paused until a moment ago.
	 * @return whether it may have been
	 */
	boolean mayHaveBeenPaused();

	/**
	 * Runs a copy of a job that no other owner runs.
	 * @param submission the copy
	 */
	void run(JobSubmission submission);

	/**
	 * Answers a copy that does not run.
	 * @param submission the copy
	 * @param outcome the answer
	 */
	void answer(JobSubmission submission, JobOutcome outcome);

	/**
	 * Sends a copy to the pool that an earlier one went to.
	 * @param submission the copy
	 * @param pool the name of the pool
	 */
	void placedElsewhere(JobSubmission submission, String pool);

}
