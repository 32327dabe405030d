package org.masticwick.cli.load;

import java.util.random.RandomGenerator;

/**
 * Random distribution of the actual run times of a kind of task. Most follow a log-normal
 * distribution limited to 50 ms to 1 s; a fraction is uniformly distributed from 2 s to 6
 * s.
 *
 * @param medianMillis the median of the log-normal distribution, in milliseconds
 * @param sigma the standard deviation of the logarithm of the run time
 * @param longFraction the fraction of tasks that run for 2 s to 6 s
 */
record RunTimeModel(double medianMillis, double sigma, double longFraction) {

	private static final int MIN_MILLIS = 50;

	private static final int MAX_MILLIS = 1_000;

	private static final int LONG_MIN_MILLIS = 2_000;

	private static final int LONG_MAX_MILLIS = 6_000;

	/**
	 * Draws a run time.
	 * @param random the source of randomness
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
