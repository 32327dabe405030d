package org.masticwick.core.pool;

/**
 * A task that an endpoint reports as running.
 *
 * @param run the run
 * @param progressPercent the progress in percent
 * @param checkpoint the newest checkpoint of the run, or an empty string
 */
public record RunningTask(TaskRun run, int progressPercent, String checkpoint) {

	/**
	 * Creates a running task without a checkpoint.
	 * @param run the run
	 * @param progressPercent the progress in percent
	 */
	public RunningTask(TaskRun run, int progressPercent) {
		this(run, progressPercent, "");
	}

}
