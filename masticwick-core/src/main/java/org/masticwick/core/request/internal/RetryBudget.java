package org.masticwick.core.request.internal;

/**
 * A token bucket that limits retries to a fraction of the first starts, so that retries
 * don't multiply the load while endpoints refuse many starts. A low minimum refill rate
 * lets the retry of a single task through without other starts, and a higher rate refills
 * the bucket quickly once refusals have stopped.
 */
final class RetryBudget {

	private static final double MIN_REFILL_PER_SECOND = 0.5;

	private static final double QUIET_REFILL_PER_SECOND = 20;

	private static final double QUIET_PERIOD_NANOS = TimeMath.NANOS_PER_SECOND;

	private double retriesPerStart;

	private final double burstCount;

	private double tokenCount;

	private long lastRefillNanos;

	private long lastRefusalNanos;

	/**
	 * Creates a full budget.
	 * @param retriesPerStart the number of retries that each first start adds
	 * @param burstCount the capacity of the bucket, in retries
	 * @param nowNanos the current time
	 */
	RetryBudget(double retriesPerStart, int burstCount, long nowNanos) {
		this.retriesPerStart = retriesPerStart;
		this.burstCount = burstCount;
		this.tokenCount = this.burstCount;
		this.lastRefillNanos = nowNanos;
		this.lastRefusalNanos = nowNanos;
	}

	/**
	 * Records a refused start, which lowers the refill rate for a while.
	 * @param nowNanos the current time
	 */
	void recordRefusal(long nowNanos) {
		this.lastRefusalNanos = nowNanos;
	}

	/**
	 * Records the first start of a task, which adds to the budget.
	 */
	void recordFirstStart() {
		addTokens(this.retriesPerStart);
	}

	/**
	 * Records a retry, which takes one token from the budget.
	 */
	void recordRetry() {
		this.tokenCount--;
	}

	/**
	 * Refills the bucket for the time elapsed since the last call and returns whether it
	 * allows a retry.
	 * @param nowNanos the current time
	 * @return {@code true} if a retry is allowed
	 */
	boolean refillAndCheck(long nowNanos) {
		double elapsedNanos = Math.max(0, nowNanos - this.lastRefillNanos);
		this.lastRefillNanos = nowNanos;
		boolean quiet = nowNanos - this.lastRefusalNanos > QUIET_PERIOD_NANOS;
		addTokens(elapsedNanos / TimeMath.NANOS_PER_SECOND * (quiet ? QUIET_REFILL_PER_SECOND : MIN_REFILL_PER_SECOND));
		return this.tokenCount >= 1;
	}

	/**
	 * Returns the number of retries left in the budget.
	 * @return the number
	 */
	double tokenCount() {
		return this.tokenCount;
	}

	/**
	 * Returns the fraction of the budget that is left.
	 * @return the fraction, 0 to 1
	 */
	double remainingFraction() {
		return Math.max(0, this.tokenCount) / this.burstCount;
	}

	/**
	 * Sets the number of retries that each first start adds.
	 * @param newRetriesPerStart the number of retries
	 */
	void retriesPerStart(double newRetriesPerStart) {
		this.retriesPerStart = newRetriesPerStart;
	}

	private void addTokens(double count) {
		this.tokenCount = Math.min(this.burstCount, this.tokenCount + count);
	}

}
