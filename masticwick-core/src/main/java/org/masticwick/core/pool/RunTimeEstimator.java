package org.masticwick.core.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how long the tasks of each queue take and corrects the estimates of callers by
 * it. Means are taken of logarithms, since run times spread by factors.
 */
final class RunTimeEstimator {

	/** The weight of a new sample, which makes some twenty samples count. */
	private static final double SAMPLE_WEIGHT = 0.05;

	/** The fewest samples before what was learnt is believed. */
	private static final int MIN_SAMPLE_COUNT = 5;

	/** How much the caller's own estimate counts against the mean of the queue. */
	private static final double ESTIMATE_WEIGHT = 0.5;

	private final Map<String, QueueMean> meansByQueue = new HashMap<>();

	/**
	 * Returns how long a task is expected to take on an endpoint of usual speed.
	 * @param queue the queue
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
	 * Takes note of a run that ended with success.
	 * @param queue the queue
	 * @param runMillis how long it took, in milliseconds
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
