package org.masticwick.core.request;

import java.util.List;

/**
 * The job that a caller submits under a ticket.
 *
 * @param service the name of the service that runs the tasks
 * @param team the name of the team whose share the job is charged to
 * @param urgent whether the job is started before jobs that are not urgent
 * @param idempotent whether the job is idempotent, so that the caller may submit it again
 * under a new ticket
 * @param deadlineMillis the time that the caller waits for the answer, in milliseconds
 * @param tasks the tasks, 1 to {@value #MAX_TASK_COUNT}
 */
public record JobRequest(String service, String team, boolean urgent, boolean idempotent, long deadlineMillis,
		List<TaskSpec> tasks) {

	/** The maximum number of tasks in a job. */
	public static final int MAX_TASK_COUNT = 560;

	/**
	 * Creates the request with an immutable copy of the tasks.
	 */
	public JobRequest {
		tasks = List.copyOf(tasks);
	}

}
