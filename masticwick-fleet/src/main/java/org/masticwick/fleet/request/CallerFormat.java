package org.masticwick.fleet.request;

import org.masticwick.core.pool.JobStatus;

/**
 * The format of the callers' interface: parses request bodies and writes reply bodies.
 */
public interface CallerFormat {

	/**
	 * Returns the name of the request header that states how long the caller waits for
	 * the reply, in milliseconds.
	 * @return the name
	 */
	String timeoutHeader();

	/**
	 * Returns the path of the readiness check, by which the load balancer finds out
	 * whether the host accepts requests.
	 * @return the path
	 */
	String readinessPath();

	/**
	 * Parses the body of a request that submits a job.
	 * @param body the bytes
	 * @return the job
	 * @throws org.masticwick.fleet.version.InvalidRecordException if the body is no valid
	 * job
	 */
	SubmittedJob readJob(byte[] body);

	/**
	 * Writes the outcome of a job that has completed or failed.
	 * @param completed {@code true} if all its tasks are done, {@code false} if it failed
	 * @return the body
	 */
	byte[] writeOutcome(boolean completed);

	/**
	 * Writes the status of a durable job.
	 * @param status the status
	 * @return the body
	 */
	byte[] writeJobStatus(JobStatus status);

	/**
	 * Writes the number of waiting jobs of a queue.
	 * @param waitingCount the number
	 * @return the body
	 */
	byte[] writeWaitingJobCount(int waitingCount);

}
