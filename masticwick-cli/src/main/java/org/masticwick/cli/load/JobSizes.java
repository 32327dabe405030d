package org.masticwick.cli.load;

import java.util.random.RandomGenerator;

import org.masticwick.core.request.JobRequest;

/**
 * Draws how many tasks a job has.
 */
interface JobSizes {

	/**
	 * Draws a size.
	 * @param random the source
	 * @return the number of tasks
	 */
	int draw(RandomGenerator random);

	/**
	 * Makes every job the same size.
	 *
	 * @param size the number of tasks
	 */
	record Fixed(int size) implements JobSizes {

		@Override
		public int draw(RandomGenerator random) {
			return this.size;
		}

	}

	/**
	 * Makes some jobs single tasks; the others follow a bounded Pareto distribution.
	 *
	 * @param singleFraction how many jobs are single tasks
	 * @param shape the shape of the distribution; the smaller, the heavier its tail
	 */
	record HeavyTailed(double singleFraction, double shape) implements JobSizes {

		private static final double MIN = 2;

		@Override
		public int draw(RandomGenerator random) {
			if (random.nextDouble() < this.singleFraction) {
				return 1;
			}
			double tail = 1 - Math.pow(MIN / JobRequest.MAX_TASK_COUNT, this.shape);
			double size = MIN / Math.pow(1 - random.nextDouble() * tail, 1 / this.shape);
			return (int) Math.min(JobRequest.MAX_TASK_COUNT, size);
		}

	}

}
