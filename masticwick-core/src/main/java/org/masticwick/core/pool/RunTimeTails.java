package org.masticwick.core.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns for each queue how often runs take several times as long as expected.
 */
final class RunTimeTails {

	/** From this multiple of the expected run time on, runs are counted as long. */
	static final double LONG_RATIO = 3;

	/** The step from one counted multiple to the next. */
	private static final double RATIO_STEP = 1.5;

	private static final int BUCKET_COUNT = 10;

	/** The minimum number of runs before the shares of a queue are used. */
	private static final int MIN_RUN_COUNT = 50;

	/** The number of runs that the moving averages cover. */
	private static final int MAX_RUN_COUNT = 1_000;

	/**
	 * The assumed share of long runs in a queue that had few runs or none that long; rare
	 * enough that a single one is evidence against its endpoint.
	 */
	private static final double UNKNOWN_SHARE = EndpointHealth.MAX_CHANCE;

	private final Map<String, Tail> tailsByQueue = new HashMap<>();

	/**
	 * Adds a run that was not moved.
	 * @param queue the name of the queue
	 * @param ratio its run time, or the projected one, over the expected run time
	 */
	void observe(String queue, double ratio) {
		this.tailsByQueue.computeIfAbsent(queue, (name) -> new Tail()).observe(ratio);
	}

	/**
	 * Returns how often a run of a queue takes at least a multiple of its expected time.
	 * @param queue the name of the queue
	 * @param ratio the multiple, at least {@link #LONG_RATIO}
	 * @return the share of the runs, above 0 and at most 1
	 */
	double share(String queue, double ratio) {
		Tail tail = this.tailsByQueue.get(queue);
		return (tail == null || tail.runCount < MIN_RUN_COUNT) ? UNKNOWN_SHARE : tail.share(bucket(ratio));
	}

	private static int bucket(double ratio) {
		return (int) Math.min(BUCKET_COUNT - 1, Math.log(ratio / LONG_RATIO) / Math.log(RATIO_STEP));
	}

	private static final class Tail {

		private final double[] shares = new double[BUCKET_COUNT];

		private int runCount;

		private void observe(double ratio) {
			this.runCount = Math.min(this.runCount + 1, MAX_RUN_COUNT);
			int reached = (ratio < LONG_RATIO) ? -1 : bucket(ratio);
			for (int index = 0; index < BUCKET_COUNT; index++) {
				this.shares[index] += (((index <= reached) ? 1 : 0) - this.shares[index]) / this.runCount;
			}
		}

		private double share(int bucket) {
			boolean seen = this.shares[bucket] * this.runCount >= 0.5;
			return seen ? this.shares[bucket] : UNKNOWN_SHARE;
		}

	}

}
