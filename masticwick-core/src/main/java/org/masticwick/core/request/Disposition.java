package org.masticwick.core.request;

import org.masticwick.core.process.ErrorCode;

/**
 * Is what becomes of a task after a start has ended.
 */
public sealed interface Disposition {

	/**
	 * The task is over; the scheduler has forgotten it.
	 */
	record Done() implements Disposition {

	}

	/**
	 * The task was not started and waits to be tried again.
	 */
	record Requeued() implements Disposition {

	}

	/**
	 * The task was not started and isn't tried again. The queued tasks of its job come as
	 * dropped in the next turn.
	 *
	 * @param code why
	 * @param retryAfterMillis when to come back, in milliseconds from now; 0 if that
	 * doesn't make sense
	 */
	record Abandoned(ErrorCode code, long retryAfterMillis) implements Disposition {

	}

}
