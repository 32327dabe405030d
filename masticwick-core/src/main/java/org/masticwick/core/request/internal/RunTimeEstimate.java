package org.masticwick.core.request.internal;

/**
 * Estimates the mean and a high quantile of run times incrementally, without storing
 * samples.
 */
final class RunTimeEstimate {

	private static final double MIN_SAMPLE_WEIGHT = 0.02;

	private static final double MIN_TAIL_STEP = 0.05;

	private static final double TAIL_QUANTILE = 0.99;

	private static final double INITIAL_TAIL_FACTOR = 4;

	private long sampleCount;

	private double meanNanos;

	private double logTailNanos;

	/**
	 * Adds a sample.
	 * @param runTimeNanos the run time in nanoseconds
	 */
	void addSample(long runTimeNanos) {
		double boundedNanos = Math.max(1, runTimeNanos);
		this.sampleCount++;
		this.meanNanos += Math.max(1.0 / this.sampleCount, MIN_SAMPLE_WEIGHT) * (boundedNanos - this.meanNanos);
		if (this.sampleCount == 1) {
			this.logTailNanos = Math.log(boundedNanos * INITIAL_TAIL_FACTOR);
			return;
		}
		double step = Math.max(1 / Math.sqrt(this.sampleCount), MIN_TAIL_STEP);
		boolean above = Math.log(boundedNanos) > this.logTailNanos;
		this.logTailNanos += step * (above ? TAIL_QUANTILE : (TAIL_QUANTILE - 1));
	}

	/**
	 * Returns the number of samples.
	 * @return the number
	 */
	long sampleCount() {
		return this.sampleCount;
	}

	/**
	 * Returns the mean.
	 * @return the mean in nanoseconds; 0 without samples
	 */
	double meanNanos() {
		return this.meanNanos;
	}

	/**
	 * Returns the high quantile, never below the mean.
	 * @return the quantile in nanoseconds; 0 without samples
	 */
	double tailNanos() {
		return (this.sampleCount == 0) ? 0 : Math.max(this.meanNanos, Math.exp(this.logTailNanos));
	}

}
