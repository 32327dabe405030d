package org.masticwick.core.request;

import org.masticwick.core.process.ErrorCode;

/**
 * What the scheduler does with a task after the outcome of its start was recorded.
 */
public sealed interface Disposition {

	/**
	 * The task has terminated, and the scheduler holds no state of it any more.
	 */
	record Done() implements Disposition {

	}

	/**
	 * The task was not started and is queued for a retry.
	 */
	record Requeued() implements Disposition {

	}

	/**
	 * The task was not started and is not retried. The queued tasks of its job are
	 * reported as dropped by the next scheduling pass.
	 *
	 * @param code the reason why the task is not retried
	 * @param retryAfterMillis the delay after which the caller may submit the job again,
	 * in milliseconds; 0 if another attempt would fail as well
	 */
	record Abandoned(ErrorCode code, long retryAfterMillis) implements Disposition {

	}

}
