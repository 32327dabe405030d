package org.masticwick.cli.load;

import java.util.random.RandomGenerator;

import org.masticwick.core.request.JobRequest;

/**
 * Draws how many tasks a job has.
 */
interface JobSizeModel {

	/**
	 * Draws a size.
	 * @param random the source
	 * @return the number of tasks
	 */
	int drawTaskCount(RandomGenerator random);

	/**
	 * Makes every job the same size.
	 *
	 * @param taskCount the number of tasks
	 */
	record Fixed(int taskCount) implements JobSizeModel {

		@Override
		public int drawTaskCount(RandomGenerator random) {
			return this.taskCount;
		}

	}

	/**
	 * Makes some jobs single tasks; the others follow a bounded Pareto distribution.
	 *
	 * @param singleTaskFraction how many jobs are single tasks
	 * @param shape the shape of the distribution; the smaller, the heavier its tail
	 */
	record HeavyTailed(double singleTaskFraction, double shape) implements JobSizeModel {

		private static final double MIN_TASK_COUNT = 2;

		@Override
		public int drawTaskCount(RandomGenerator random) {
			if (random.nextDouble() < this.singleTaskFraction) {
				return 1;
			}
			double probabilityAtMax = 1 - Math.pow(MIN_TASK_COUNT / JobRequest.MAX_TASK_COUNT, this.shape);
			double taskCount = MIN_TASK_COUNT / Math.pow(1 - random.nextDouble() * probabilityAtMax, 1 / this.shape);
			return (int) Math.min(JobRequest.MAX_TASK_COUNT, taskCount);
		}

	}

}
