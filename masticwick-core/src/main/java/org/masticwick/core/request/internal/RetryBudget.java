package org.masticwick.core.request.internal;

/**
 * Bounds retries to a part of the starts, so that retries can't multiply the load when
 * much is refused. A slow trickle lets a lone task through, and the budget recovers soon
 * once nothing is refused any more.
 */
final class RetryBudget {

	private static final double TRICKLE_PER_SECOND = 0.5;

	private static final double RECOVERY_PER_SECOND = 20;

	private static final double QUIET_NANOS = Times.NANOS_PER_SECOND;

	private double ratio;

	private final double burstCount;

	private double tokenCount;

	private long filledNanos;

	private long refusedNanos;

	/**
	 * Creates a full budget.
	 * @param ratio how many retries each start allows
	 * @param burstCount how many retries are allowed at once
	 * @param nowNanos the time
	 */
	RetryBudget(double ratio, int burstCount, long nowNanos) {
		this.ratio = ratio;
		this.burstCount = burstCount;
		this.tokenCount = this.burstCount;
		this.filledNanos = nowNanos;
		this.refusedNanos = nowNanos;
	}

	/**
	 * Takes in that a start was refused.
	 * @param nowNanos the time
	 */
	void refused(long nowNanos) {
		this.refusedNanos = nowNanos;
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
		boolean quiet = nowNanos - this.refusedNanos > QUIET_NANOS;
		add(elapsedNanos / Times.NANOS_PER_SECOND * (quiet ? RECOVERY_PER_SECOND : TRICKLE_PER_SECOND));
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
	double level() {
		return Math.max(0, this.tokenCount) / this.burstCount;
	}

	/**
	 * Changes the budget.
	 * @param newRatio how many retries each start allows
	 */
	void ratio(double newRatio) {
		this.ratio = newRatio;
	}

	private void add(double count) {
		this.tokenCount = Math.min(this.burstCount, this.tokenCount + count);
	}

}
