package org.masticwick.core.pool;

/**
 * The outcome of a job as answered to its caller.
 *
 * @param kind the kind of outcome
 * @param retryAfterMillis the delay in milliseconds after which a retry makes sense, or 0
 * @param reason the reason as a code, which the figures of the decision may follow after
 * a space, for logs
 */
public record JobOutcome(Kind kind, long retryAfterMillis, String reason) {

	/**
	 * Creates an outcome without a retry delay.
	 * @param kind the kind of outcome
	 * @param reason the reason, for logs
	 * @return the outcome
	 */
	public static JobOutcome of(Kind kind, String reason) {
		return new JobOutcome(kind, 0, reason);
	}

	/**
	 * Returns the reason without the figures that follow it.
	 * @return one of a small number of codes
	 */
	public String reasonCode() {
		int end = this.reason.indexOf(' ');
		return (end < 0) ? this.reason : this.reason.substring(0, end);
	}

	/**
	 * The kinds of outcome.
	 */
	public enum Kind {

		/** All tasks are done. */
		COMPLETED,

		/** A task failed in all its attempts. */
		FAILED,

		/** No task was started, and none will be. */
		REFUSED,

		/** Tasks may have run; those still running are being stopped. */
		UNCERTAIN,

		/**
		 * No task was started here, because another host owns the pool or is about to own
		 * it.
		 */
		NOT_OWNER,

		/** The job is stored and will be executed. */
		ACCEPTED

	}

}
