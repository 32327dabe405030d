package org.masticwick.core.pool;

/**
 * A task that an endpoint says is running.
 *
 * @param run the run
 * @param progressPercent its progress in hundredths
 * @param checkpoint its newest checkpoint, or an empty string
 */
public record RunningTask(TaskRun run, int progressPercent, String checkpoint) {

	/**
	 * Creates a running task without a checkpoint.
	 * @param run the run
	 * @param progressPercent its progress in hundredths
	 */
	public RunningTask(TaskRun run, int progressPercent) {
		this(run, progressPercent, "");
	}

}
