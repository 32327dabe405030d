package org.masticwick.cli.load;

import java.util.random.RandomGenerator;

/**
 * Draws the true run times of tasks of a kind: most are log-normal around a median, a few
 * last several seconds.
 *
 * @param medianMillis the median, in milliseconds
 * @param sigma the spread of the logarithm
 * @param longFraction how many last several seconds
 */
record RunTimeModel(double medianMillis, double sigma, double longFraction) {

	private static final int MIN_MILLIS = 50;

	private static final int MAX_MILLIS = 1_000;

	private static final int LONG_MIN_MILLIS = 2_000;

	private static final int LONG_MAX_MILLIS = 6_000;

	/**
	 * Draws a run time.
	 * @param random the source
	 * @return the run time in milliseconds
	 */
	int drawMillis(RandomGenerator random) {
		if (random.nextDouble() < this.longFraction) {
			return random.nextInt(LONG_MIN_MILLIS, LONG_MAX_MILLIS + 1);
		}
		double logNormalMillis = this.medianMillis * Math.exp(this.sigma * random.nextGaussian());
		return (int) Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, logNormalMillis));
	}

}
