package org.masticwick.core.pool;

/**
 * A decision to refuse a job that has not started, with the figures it is based on.
 *
 * @param job the job
 * @param reason the reason as a short code
 * @param waitMillis the expected wait of the job that could not start in time; for a job
 * that was admitted before, the time it has waited; 0 if the wait is not the reason; in
 * milliseconds
 * @param backlogMillis how long the pool needs for all waiting jobs, in milliseconds
 */
record Refusal(PooledJob job, String reason, double waitMillis, double backlogMillis) {

	/**
	 * Describes the decision.
	 * @return the code and the figures, for logs
	 */
	String description() {
		return this.reason + " priority=" + this.job.terms().priority() + " wait_ms=" + Math.round(this.waitMillis)
				+ " backlog_ms=" + Math.round(this.backlogMillis);
	}

}
