package org.masticwick.daemon.request;

/**
 * Holds the limits of requests.
 *
 * @param maxBodyBytes the maximum size of a body, in bytes
 * @param maxPayloadBytes the maximum size of the payload of a task, in bytes
 * @param maxTaskCount the maximum number of tasks of a job
 * @param defaultDeadlineMillis the time from submission to deadline of a job that
 * specifies none, in milliseconds
 * @param maxDeadlineMillis the maximum time from submission to deadline, in milliseconds
 * @param maxWaitMillis the maximum time for which one request may wait for its answer, in
 * milliseconds
 */
public record RequestLimits(int maxBodyBytes, int maxPayloadBytes, int maxTaskCount, long defaultDeadlineMillis,
		long maxDeadlineMillis, long maxWaitMillis) {

}
