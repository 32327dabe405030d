package org.masticwick.core.pool;

import java.util.List;

/**
 * How far one occurrence of a durable job is.
 *
 * @param occurrence its number, from 0
 * @param completed whether all its tasks are done
 * @param tasks the tasks of which some run has ended; empty if it is completed
 */
public record OccurrenceProgress(int occurrence, boolean completed, List<TaskProgress> tasks) {

	/**
	 * Copies the list.
	 */
	public OccurrenceProgress {
		tasks = List.copyOf(tasks);
	}

}
