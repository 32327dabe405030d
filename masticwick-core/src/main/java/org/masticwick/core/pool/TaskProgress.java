package org.masticwick.core.pool;

import java.util.List;

/**
 * The progress of a task of a durable job as stored in the shared log.
 *
 * @param step the number of the step
 * @param index the number of the task in its step
 * @param done whether the task is done
 * @param lastTerminatedRun the number of the last run whose termination is included
 * @param failureCount the number of failed runs
 * @param checkpoint the newest checkpoint, or an empty string
 * @param losses the losses of endpoints under the task
 * @param failedRuns the numbers of failed runs, for a gang those of all members with its
 * first one; a host of an earlier version has stored none
 */
public record TaskProgress(int step, int index, boolean done, int lastTerminatedRun, int failureCount,
		String checkpoint, List<TaskLoss> losses, List<Integer> failedRuns) {

	/**
	 * Copies the lists, so that the record is immutable.
	 */
	public TaskProgress {
		losses = List.copyOf(losses);
		failedRuns = List.copyOf(failedRuns);
	}

}
