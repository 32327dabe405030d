package org.masticwick.fleet.request;

import org.masticwick.core.pool.JobStatus;

/**
 * Reads and writes the bodies that callers see.
 */
public interface CallerFormat {

	/**
	 * Returns the name of the header that tells how long a caller waits, in milliseconds.
	 * @return the name
	 */
	String timeoutHeader();

	/**
	 * Returns the path of the balancer's question whether the host takes requests.
	 * @return the path
	 */
	String readinessPath();

	/**
	 * Reads the body of a submission.
	 * @param body the bytes
	 * @return the job
	 * @throws org.masticwick.fleet.version.InvalidRecordException if the body is no job
	 */
	SubmittedJob readJob(byte[] body);

	/**
	 * Writes the answer on a job that has ended.
	 * @param completed whether all its tasks are done
	 * @return the body
	 */
	byte[] writeOutcome(boolean completed);

	/**
	 * Writes the state of a durable job.
	 * @param status the state
	 * @return the body
	 */
	byte[] writeJobStatus(JobStatus status);

	/**
	 * Writes how many jobs of a queue wait.
	 * @param waitingCount the number
	 * @return the body
	 */
	byte[] writeWaitingJobCount(int waitingCount);

}
