package org.masticwick.core.pool;

/**
 * The state of a task on its way from one owner of a pool to the next.
 *
 * @param task the task
 * @param done whether it has done its work
 * @param runCount how often it was started
 * @param failureCount how often it failed
 * @param endpointId where it runs, or an empty string if it does not
 * @param sinceOrderedMillis how long ago its present run was ordered, in milliseconds
 * @param accepted whether the endpoint has accepted that run
 */
public record TaskTransfer(TaskId task, boolean done, int runCount, int failureCount, String endpointId,
		long sinceOrderedMillis, boolean accepted) {
}
