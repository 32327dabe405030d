package org.masticwick.cli.load;

import java.util.random.RandomGenerator;

import org.masticwick.core.request.JobRequest;

/**
 * Random distribution of the number of tasks of a job.
 */
interface JobSizeModel {

	/**
	 * Draws the number of tasks of a job.
	 * @param random the source of randomness
	 * @return the number of tasks
	 */
	int drawTaskCount(RandomGenerator random);

	/**
	 * Gives every job the same number of tasks.
	 *
	 * @param taskCount the number of tasks of each job
	 */
	record Fixed(int taskCount) implements JobSizeModel {

		@Override
		public int drawTaskCount(RandomGenerator random) {
			return this.taskCount;
		}

	}

	/**
	 * Gives a fraction of the jobs a single task; the sizes of the other jobs follow a
	 * Pareto distribution bounded to 2 to {@link JobRequest#MAX_TASK_COUNT} tasks.
	 *
	 * @param singleTaskFraction the fraction of jobs with a single task
	 * @param shape the shape parameter of the Pareto distribution; a smaller value gives
	 * a heavier tail
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
