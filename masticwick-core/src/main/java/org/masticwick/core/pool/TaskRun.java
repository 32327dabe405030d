package org.masticwick.core.pool;

/**
 * Identifies one run of a task.
 *
 * @param task the task
 * @param number the number of the run, from 1
 */
public record TaskRun(TaskId task, int number) {

	@Override
	public String toString() {
		return this.task + "#" + this.number;
	}

}
