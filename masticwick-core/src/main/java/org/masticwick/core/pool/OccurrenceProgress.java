package org.masticwick.core.pool;

import java.util.List;

/**
 * The progress of one occurrence of a durable job.
 *
 * @param occurrence the number of the occurrence, from 0
 * @param completed whether all its tasks are done
 * @param tasks the progress of the tasks with a terminated run; empty if the occurrence
 * is completed
 */
public record OccurrenceProgress(int occurrence, boolean completed, List<TaskProgress> tasks) {

	/**
	 * Copies the list, so that the record is immutable.
	 */
	public OccurrenceProgress {
		tasks = List.copyOf(tasks);
	}

}
