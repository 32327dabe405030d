package org.masticwick.core.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns the run times of the tasks of each queue and uses them to correct the estimates
 * of callers. It averages logarithms, because run times vary by factors.
 */
final class RunTimeEstimator {

	/**
	 * The weight of a new sample in the moving average, which covers about twenty
	 * samples.
	 */
	private static final double SAMPLE_WEIGHT = 0.05;

	/** The minimum number of samples before the mean of a queue is used. */
	private static final int MIN_SAMPLE_COUNT = 5;

	/** The weight of the caller's estimate relative to the mean of the queue. */
	private static final double ESTIMATE_WEIGHT = 0.5;

	private final Map<String, QueueMean> meansByQueue = new HashMap<>();

	/**
	 * Returns the expected run time of a task on an endpoint of average speed.
	 * @param queue the name of the queue
	 * @param estimatedMillis the caller's estimate in milliseconds
	 * @return the expected run time in milliseconds
	 */
	double expectedMillis(String queue, long estimatedMillis) {
		double estimateMillis = Math.max(1, estimatedMillis);
		QueueMean mean = this.meansByQueue.get(queue);
		if (mean == null || mean.sampleCount < MIN_SAMPLE_COUNT) {
			return estimateMillis;
		}
		double logMillis = ESTIMATE_WEIGHT * Math.log(estimateMillis) + (1 - ESTIMATE_WEIGHT) * mean.meanLogMillis;
		return Math.exp(logMillis);
	}

	/**
	 * Adds the run time of a successful run.
	 * @param queue the name of the queue
	 * @param runMillis the run time in milliseconds
	 */
	void observe(String queue, long runMillis) {
		QueueMean mean = this.meansByQueue.computeIfAbsent(queue, (name) -> new QueueMean());
		double logMillis = Math.log(Math.max(1, runMillis));
		mean.sampleCount++;
		double weight = Math.max(SAMPLE_WEIGHT, 1.0 / mean.sampleCount);
		mean.meanLogMillis += weight * (logMillis - mean.meanLogMillis);
	}

	private static final class QueueMean {

		private int sampleCount;

		private double meanLogMillis;

	}

}
