package org.masticwick.core.request.internal;

import java.util.random.RandomGenerator;

/**
 * Holds back starts on an endpoint that has just refused one.
 */
final class EndpointBackoff {

	private static final int MAX_DOUBLING_COUNT = 6;

	private static final double MIN_PAUSE_NANOS = Times.NANOS_PER_MILLI;

	private final RandomGenerator random;

	private int refusalCount;

	private long untilNanos = Long.MIN_VALUE;

	/**
	 * Creates a back-off that holds nothing back.
	 * @param random the source of jitter
	 */
	EndpointBackoff(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Takes in a refusal.
	 * @param firstPauseNanos the pause after a first refusal, in nanoseconds
	 * @param maxPauseNanos the longest pause, in nanoseconds
	 * @param nowNanos the time
	 */
	void refused(double firstPauseNanos, double maxPauseNanos, long nowNanos) {
		if (active(nowNanos)) {
			return;
		}
		double pauseNanos = Math.max(MIN_PAUSE_NANOS, firstPauseNanos) * (1L << this.refusalCount);
		pauseNanos = Math.min(Math.max(MIN_PAUSE_NANOS, maxPauseNanos), pauseNanos);
		this.refusalCount = Math.min(MAX_DOUBLING_COUNT, this.refusalCount + 1);
		this.untilNanos = nowNanos + (long) (pauseNanos * (0.5 + this.random.nextDouble()));
	}

	/**
	 * Takes in that the endpoint took a task.
	 */
	void accepted() {
		this.refusalCount = 0;
	}

	/**
	 * Returns whether starts are held back.
	 * @param nowNanos the time
	 * @return {@code true} if so
	 */
	boolean active(long nowNanos) {
		return nowNanos < this.untilNanos;
	}

	/**
	 * Returns until when starts are held back.
	 * @return the time in nanoseconds
	 */
	long untilNanos() {
		return this.untilNanos;
	}

}
