package org.masticwick.core.request;

import java.util.Objects;

/**
 * Is a job on its way into the queue.
 *
 * @param ticket the ticket of the job
 * @param request what the caller submitted
 * @param deadlineNanos the time after which nobody waits for the answer, in nanoseconds
 * of the monotonic clock
 */
public record JobSubmission(String ticket, JobRequest request, long deadlineNanos) {

	/**
	 * Checks the parts.
	 */
	public JobSubmission {
		Objects.requireNonNull(ticket, "ticket");
		Objects.requireNonNull(request, "request");
	}

}
