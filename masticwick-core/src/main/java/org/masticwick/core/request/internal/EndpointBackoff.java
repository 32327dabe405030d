package org.masticwick.core.request.internal;

import java.util.random.RandomGenerator;

/**
 * Holds back starts on an endpoint that has just refused one.
 */
final class EndpointBackoff {

	private static final int MAX_DOUBLING_COUNT = 6;

	private static final double MIN_DELAY_NANOS = TimeMath.NANOS_PER_MILLI;

	private final RandomGenerator random;

	private int doublingCount;

	private long endNanos = Long.MIN_VALUE;

	/**
	 * Creates a back-off that holds nothing back.
	 * @param random the source of jitter
	 */
	EndpointBackoff(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Takes in a refusal.
	 * @param initialDelayNanos the pause after a first refusal, in nanoseconds
	 * @param maxDelayNanos the longest pause, in nanoseconds
	 * @param nowNanos the time
	 */
	void recordRefusal(double initialDelayNanos, double maxDelayNanos, long nowNanos) {
		if (active(nowNanos)) {
			return;
		}
		double delayNanos = Math.max(MIN_DELAY_NANOS, initialDelayNanos) * (1L << this.doublingCount);
		delayNanos = Math.min(Math.max(MIN_DELAY_NANOS, maxDelayNanos), delayNanos);
		this.doublingCount = Math.min(MAX_DOUBLING_COUNT, this.doublingCount + 1);
		this.endNanos = nowNanos + (long) (delayNanos * (0.5 + this.random.nextDouble()));
	}

	/**
	 * Takes in that the endpoint took a task.
	 */
	void recordAcceptance() {
		this.doublingCount = 0;
	}

	/**
	 * Returns whether starts are held back.
	 * @param nowNanos the time
	 * @return {@code true} if so
	 */
	boolean active(long nowNanos) {
		return nowNanos < this.endNanos;
	}

	/**
	 * Returns until when starts are held back.
	 * @return the time in nanoseconds
	 */
	long endNanos() {
		return this.endNanos;
	}

}
