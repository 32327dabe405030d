package org.masticwick.core.request.internal;

/**
 * Bounds retries to a part of the starts, so that retries can't multiply the load when
 * much is refused. A slow trickle lets a lone task through.
 */
final class RetryBudget {

	private static final double TRICKLE_PER_SECOND = 5;

	private final double ratio;

	private final double burstCount;

	private double tokenCount;

	private long filledNanos;

	/**
	 * Creates a full budget.
	 * @param ratio how many retries each start allows
	 * @param burstCount how many retries are allowed at once
	 * @param nowNanos the time
	 */
	RetryBudget(double ratio, int burstCount, long nowNanos) {
		this.ratio = ratio;
		this.burstCount = burstCount;
		this.tokenCount = burstCount;
		this.filledNanos = nowNanos;
	}

	/**
	 * Takes in the first start of a task.
	 */
	void started() {
		add(this.ratio);
	}

	/**
	 * Takes in that a task is started again.
	 */
	void retried() {
		this.tokenCount--;
	}

	/**
	 * Returns whether a retry is allowed.
	 * @param nowNanos the time
	 * @return {@code true} if it is
	 */
	boolean allows(long nowNanos) {
		double elapsedNanos = Math.max(0, nowNanos - this.filledNanos);
		this.filledNanos = nowNanos;
		add(elapsedNanos / Times.NANOS_PER_SECOND * TRICKLE_PER_SECOND);
		return this.tokenCount >= 1;
	}

	/**
	 * Returns how many retries are allowed at once.
	 * @return the number
	 */
	double tokenCount() {
		return this.tokenCount;
	}

	private void add(double count) {
		this.tokenCount = Math.min(this.burstCount, this.tokenCount + count);
	}

}
