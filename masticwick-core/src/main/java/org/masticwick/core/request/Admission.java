package org.masticwick.core.request;

import org.masticwick.core.process.ErrorCode;

/**
 * Is the verdict on a job that wants to enter the queue.
 */
public sealed interface Admission {

	/**
	 * All tasks of the job are queued.
	 *
	 * @param expectedWaitMillis how long the job is expected to wait for its first start,
	 * in milliseconds
	 */
	record Admitted(long expectedWaitMillis) implements Admission {

	}

	/**
	 * No task of the job is queued, nor will one be started.
	 *
	 * @param code why
	 * @param retryAfterMillis when to come back, in milliseconds from now; 0 if that
	 * doesn't make sense
	 * @param detail the details for people
	 */
	record Rejected(ErrorCode code, long retryAfterMillis, String detail) implements Admission {

	}

}
