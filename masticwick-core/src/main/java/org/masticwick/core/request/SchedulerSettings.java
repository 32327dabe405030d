package org.masticwick.core.request;

import java.time.Duration;

/**
 * Holds the bounds of a scheduler that are the process's own; what belongs to the site
 * comes in the rules of its version.
 *
 * @param queueLimitCount how many tasks of one service wait at most
 * @param maxWaitMillis how long a task may be expected to wait at most, in milliseconds
 * @param defaultMaxRunTimeMillis how long a task of a service that sets no limit may run,
 * in milliseconds
 * @param priorRunTimeMillis the run time that is expected of a kind of which nothing is
 * known, in milliseconds
 * @param retryBudgetRatio how many retries each start allows at most; the weighting of
 * the site may allow fewer
 * @param retryBurstCount how many retries are allowed at once
 * @param maxAttemptCount how often a task is tried at most, not counting endpoints that
 * were full
 * @param maxStartsPerPassCount how many starts one turn holds at most
 */
public record SchedulerSettings(int queueLimitCount, long maxWaitMillis, long defaultMaxRunTimeMillis,
		long priorRunTimeMillis, double retryBudgetRatio, int retryBurstCount, int maxAttemptCount,
		int maxStartsPerPassCount) {

	/**
	 * Returns a builder that holds the defaults.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns the defaults.
	 * @return the settings
	 */
	public static SchedulerSettings defaults() {
		return builder().build();
	}

	/**
	 * Collects settings.
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
		 * Sets how many tasks of one service wait at most.
		 * @param count the number
		 * @return this builder
		 */
		public Builder queueLimitCount(int count) {
			this.queueLimitCount = count;
			return this;
		}

		/**
		 * Sets how long a task may be expected to wait at most.
		 * @param wait the time
		 * @return this builder
		 */
		public Builder maxWait(Duration wait) {
			this.maxWaitMillis = wait.toMillis();
			return this;
		}

		/**
		 * Sets how long a task of a service that sets no limit may run.
		 * @param runTime the time
		 * @return this builder
		 */
		public Builder defaultMaxRunTime(Duration runTime) {
			this.defaultMaxRunTimeMillis = runTime.toMillis();
			return this;
		}

		/**
		 * Sets the run time that is expected of a kind of which nothing is known.
		 * @param runTime the time
		 * @return this builder
		 */
		public Builder priorRunTime(Duration runTime) {
			this.priorRunTimeMillis = runTime.toMillis();
			return this;
		}

		/**
		 * Sets the retry budget.
		 * @param ratio how many retries each start allows
		 * @param burstCount how many retries are allowed at once
		 * @return this builder
		 */
		public Builder retryBudget(double ratio, int burstCount) {
			this.retryBudgetRatio = ratio;
			this.retryBurstCount = burstCount;
			return this;
		}

		/**
		 * Sets how often a task is tried at most, not counting endpoints that were full.
		 * @param count the number
		 * @return this builder
		 */
		public Builder maxAttemptCount(int count) {
			this.maxAttemptCount = count;
			return this;
		}

		/**
		 * Sets how many starts one turn holds at most.
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
