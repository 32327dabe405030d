package org.masticwick.core.pool;

import java.util.List;

/**
 * The state of a job that one owner of a pool hands over to the next.
 *
 * @param spec the job
 * @param terms the terms of its queue when it was admitted
 * @param origin the entry host and the call that wait for the answer
 * @param ageMillis the time since it was submitted, in milliseconds
 * @param tasks the states of all its tasks
 */
public record JobTransfer(JobSpec spec, JobTerms terms, JobOrigin origin, long ageMillis, List<TaskTransfer> tasks) {

	/**
	 * Copies the list, so that the record is immutable.
	 */
	public JobTransfer {
		tasks = List.copyOf(tasks);
	}

}
