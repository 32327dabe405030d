package org.masticwick.core.request;

import java.time.Duration;

/**
 * The limits of a scheduler that each process sets for itself. Settings of the whole site
 * are rules of its version instead.
 *
 * @param queueLimitCount the maximum number of queued tasks of one service
 * @param maxWaitMillis the maximum expected queue wait of an admitted job, in
 * milliseconds
 * @param defaultMaxRunTimeMillis the maximum run time of a task whose service sets no
 * limit, in milliseconds
 * @param priorRunTimeMillis the run time to expect of a task before any run time was
 * measured, in milliseconds
 * @param retryBudgetRatio the maximum number of retries that each first start adds to the
 * retry budget; the weighting of the site may allow fewer
 * @param retryBurstCount the capacity of the retry budget, in retries
 * @param maxAttemptCount the maximum number of attempts to start a task, not counting
 * refusals by full endpoints
 * @param maxStartsPerPassCount the maximum number of starts in one scheduling pass
 */
public record SchedulerSettings(int queueLimitCount, long maxWaitMillis, long defaultMaxRunTimeMillis,
		long priorRunTimeMillis, double retryBudgetRatio, int retryBurstCount, int maxAttemptCount,
		int maxStartsPerPassCount) {

	/**
	 * Returns a builder with the default settings.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns the default settings.
	 * @return the settings
	 */
	public static SchedulerSettings defaults() {
		return builder().build();
	}

	/**
	 * Builder for {@link SchedulerSettings}.
	 */
	public static final class Builder {

		private int queueLimitCount = 20_000;

		private long maxWaitMillis = 30_000;

		private long defaultMaxRunTimeMillis = 60_000;

		private long priorRunTimeMillis = 200;

		private double retryBudgetRatio = 0.1;

		private int retryBurstCount = 20;

		private int maxAttemptCount = 16;

		private int maxStartsPerPassCount = 256;

		private Builder() {
		}

		/**
		 * Sets the maximum number of queued tasks of one service.
		 * @param count the number
		 * @return this builder
		 */
		public Builder queueLimitCount(int count) {
			this.queueLimitCount = count;
			return this;
		}

		/**
		 * Sets the maximum expected queue wait of an admitted job.
		 * @param wait the wait
		 * @return this builder
		 */
		public Builder maxWait(Duration wait) {
			this.maxWaitMillis = wait.toMillis();
			return this;
		}

		/**
		 * Sets the maximum run time of a task whose service sets no limit.
		 * @param runTime the run time
		 * @return this builder
		 */
		public Builder defaultMaxRunTime(Duration runTime) {
			this.defaultMaxRunTimeMillis = runTime.toMillis();
			return this;
		}

		/**
		 * Sets the run time to expect of a task before any run time was measured.
		 * @param runTime the run time
		 * @return this builder
		 */
		public Builder priorRunTime(Duration runTime) {
			this.priorRunTimeMillis = runTime.toMillis();
			return this;
		}

		/**
		 * Sets the retry budget.
		 * @param ratio the number of retries that each first start adds
		 * @param burstCount the capacity of the retry budget, in retries
		 * @return this builder
		 */
		public Builder retryBudget(double ratio, int burstCount) {
			this.retryBudgetRatio = ratio;
			this.retryBurstCount = burstCount;
			return this;
		}

		/**
		 * Sets the maximum number of attempts to start a task, not counting refusals by
		 * full endpoints.
		 * @param count the number
		 * @return this builder
		 */
		public Builder maxAttemptCount(int count) {
			this.maxAttemptCount = count;
			return this;
		}

		/**
		 * Sets the maximum number of starts in one scheduling pass.
		 * @param count the number
		 * @return this builder
		 */
		public Builder maxStartsPerPassCount(int count) {
			this.maxStartsPerPassCount = count;
			return this;
		}

		/**
		 * Creates the settings.
		 * @return the settings
		 */
		public SchedulerSettings build() {
			return new SchedulerSettings(this.queueLimitCount, this.maxWaitMillis, this.defaultMaxRunTimeMillis,
					this.priorRunTimeMillis, this.retryBudgetRatio, this.retryBurstCount, this.maxAttemptCount,
					this.maxStartsPerPassCount);
		}

	}

}
