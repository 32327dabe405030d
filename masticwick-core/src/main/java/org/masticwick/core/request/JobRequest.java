package org.masticwick.core.request;

import java.util.List;

/**
 * Is what a caller submits under a ticket.
 *
 * @param service the service that runs the tasks
 * @param team the team whose share the job counts against
 * @param urgent whether the job goes before jobs that are not urgent
 * @param idempotent whether the caller may submit the job again under a new ticket
 * @param deadlineMillis how long the caller waits for the answer, in milliseconds
 * @param tasks the tasks, 1 to {@value #MAX_TASK_COUNT}
 */
public record JobRequest(String service, String team, boolean urgent, boolean idempotent, long deadlineMillis,
		List<TaskSpec> tasks) {

	/** How many tasks a job has at most. */
	public static final int MAX_TASK_COUNT = 560;

	/**
	 * Copies the tasks.
	 */
	public JobRequest {
		tasks = List.copyOf(tasks);
	}

}
