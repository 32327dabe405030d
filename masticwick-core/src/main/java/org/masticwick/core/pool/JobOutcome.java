package org.masticwick.core.pool;

/**
 * The final answer on a job.
 *
 * @param kind what became of it
 * @param retryAfterMillis when it makes sense to come back, in milliseconds, or 0
 * @param reason why, in a few words for logs
 */
public record JobOutcome(Kind kind, long retryAfterMillis, String reason) {

	/**
	 * Creates an answer that asks nobody to come back.
	 * @param kind what became of the job
	 * @param reason why
	 * @return the outcome
	 */
	public static JobOutcome of(Kind kind, String reason) {
		return new JobOutcome(kind, 0, reason);
	}

	/**
	 * Names the kinds of outcome.
	 */
	public enum Kind {

		/** All tasks are done. */
		COMPLETED,

		/** A task failed as often as it may. */
		FAILED,

		/** No task was started, and none will be. */
		REFUSED,

		/** Tasks may have run; what still runs is being stopped. */
		UNCERTAIN,

		/** No task was started here, as another host owns the pool or is about to. */
		NOT_OWNER,

		/** The job is kept and will be done. */
		ACCEPTED

	}

}
