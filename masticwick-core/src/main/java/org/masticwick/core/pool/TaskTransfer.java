package org.masticwick.core.pool;

/**
 * The state of a task that one owner of a pool hands over to the next.
 *
 * @param task the task
 * @param done whether the task is done
 * @param runCount the number of the last run
 * @param failureCount the number of failed runs
 * @param endpointId the id of the endpoint with the current run, or an empty string if
 * there is none
 * @param sinceStartRequestedMillis the time since the current run was requested, in
 * milliseconds
 * @param accepted whether the endpoint has accepted the current run
 */
public record TaskTransfer(TaskId task, boolean done, int runCount, int failureCount, String endpointId,
		long sinceStartRequestedMillis, boolean accepted) {
}
