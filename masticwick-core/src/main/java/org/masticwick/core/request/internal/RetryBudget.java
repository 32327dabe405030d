package org.masticwick.core.request.internal;

/**
 * Bounds retries to a part of the starts, so that retries can't multiply the load when
 * much is refused. A slow trickle lets a lone task through, and the budget recovers soon
 * once nothing is refused any more.
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
	 * @param retriesPerStart how many retries each start allows
	 * @param burstCount how many retries are allowed at once
	 * @param nowNanos the time
	 */
	RetryBudget(double retriesPerStart, int burstCount, long nowNanos) {
		this.retriesPerStart = retriesPerStart;
		this.burstCount = burstCount;
		this.tokenCount = this.burstCount;
		this.lastRefillNanos = nowNanos;
		this.lastRefusalNanos = nowNanos;
	}

	/**
	 * Takes in that a start was refused.
	 * @param nowNanos the time
	 */
	void recordRefusal(long nowNanos) {
		this.lastRefusalNanos = nowNanos;
	}

	/**
	 * Takes in the first start of a task.
	 */
	void recordFirstStart() {
		addTokens(this.retriesPerStart);
	}

	/**
	 * Takes in that a task is started again.
	 */
	void recordRetry() {
		this.tokenCount--;
	}

	/**
	 * Returns whether a retry is allowed.
	 * @param nowNanos the time
	 * @return {@code true} if it is
	 */
	boolean refillAndCheck(long nowNanos) {
		double elapsedNanos = Math.max(0, nowNanos - this.lastRefillNanos);
		this.lastRefillNanos = nowNanos;
		boolean quiet = nowNanos - this.lastRefusalNanos > QUIET_PERIOD_NANOS;
		addTokens(elapsedNanos / TimeMath.NANOS_PER_SECOND * (quiet ? QUIET_REFILL_PER_SECOND : MIN_REFILL_PER_SECOND));
		return this.tokenCount >= 1;
	}

	/**
	 * Returns how many retries are allowed at once.
	 * @return the number
	 */
	double tokenCount() {
		return this.tokenCount;
	}

	/**
	 * Returns how much of the budget is left.
	 * @return the part, 0 to 1
	 */
	double remainingFraction() {
		return Math.max(0, this.tokenCount) / this.burstCount;
	}

	/**
	 * Changes the budget.
	 * @param newRetriesPerStart how many retries each start allows
	 */
	void retriesPerStart(double newRetriesPerStart) {
		this.retriesPerStart = newRetriesPerStart;
	}

	private void addTokens(double count) {
		this.tokenCount = Math.min(this.burstCount, this.tokenCount + count);
	}

}
