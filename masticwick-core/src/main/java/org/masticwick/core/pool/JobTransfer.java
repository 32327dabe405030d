package org.masticwick.core.pool;

import java.util.List;

/**
 * The state of a job on its way from one owner of a pool to the next.
 *
 * @param spec the job
 * @param terms the terms of its queue when it was admitted
 * @param origin who waits for the answer
 * @param ageMillis how long ago it was admitted, in milliseconds
 * @param tasks the states of all its tasks
 */
public record JobTransfer(JobSpec spec, JobTerms terms, JobOrigin origin, long ageMillis, List<TaskTransfer> tasks) {

	/**
	 * Copies the list.
	 */
	public JobTransfer {
		tasks = List.copyOf(tasks);
	}

}
