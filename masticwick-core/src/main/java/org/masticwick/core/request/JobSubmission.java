package org.masticwick.core.request;

import java.util.Objects;

/**
 * A job request that is submitted for admission to the queue.
 *
 * @param ticket the ticket of the job
 * @param request the job that the caller submitted
 * @param deadlineNanos the time after which the caller no longer waits for the answer, in
 * nanoseconds of the monotonic clock
 */
public record JobSubmission(String ticket, JobRequest request, long deadlineNanos) {

	/**
	 * Creates the submission.
	 */
	public JobSubmission {
		Objects.requireNonNull(ticket, "ticket");
		Objects.requireNonNull(request, "request");
	}

}
