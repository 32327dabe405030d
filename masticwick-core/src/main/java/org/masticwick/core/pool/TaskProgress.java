package org.masticwick.core.pool;

/**
 * How far a task of a durable job is, as kept in the shared log.
 *
 * @param step the number of the step
 * @param index the number of the task in its step
 * @param done whether the task is done
 * @param lastTerminatedRun the number of the last run whose end is counted here
 * @param failureCount how many runs have failed
 * @param checkpoint the newest checkpoint, or an empty string
 */
public record TaskProgress(int step, int index, boolean done, int lastTerminatedRun, int failureCount,
		String checkpoint) {
}
