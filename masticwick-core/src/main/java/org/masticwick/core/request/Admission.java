package org.masticwick.core.request;

import org.masticwick.core.process.ErrorCode;

/**
 * The decision whether a submitted job enters the queue.
 */
public sealed interface Admission {

	/**
	 * All tasks of the job are queued.
	 *
	 * @param expectedWaitMillis the expected time until the first task of the job starts,
	 * in milliseconds
	 */
	record Admitted(long expectedWaitMillis) implements Admission {

	}

	/**
	 * No task of the job is queued or will be started.
	 *
	 * @param code the reason for the rejection
	 * @param retryAfterMillis the delay after which the caller may submit the job again,
	 * in milliseconds; 0 if another attempt would be rejected as well
	 * @param detail a description of the reason, for humans
	 */
	record Rejected(ErrorCode code, long retryAfterMillis, String detail) implements Admission {

	}

}
