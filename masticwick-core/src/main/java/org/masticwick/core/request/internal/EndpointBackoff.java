package org.masticwick.core.request.internal;

import java.util.random.RandomGenerator;

/**
 * Delays starts on an endpoint after a refusal, with exponential backoff and jitter.
 */
final class EndpointBackoff {

	private static final int MAX_DOUBLING_COUNT = 6;

	private static final double MIN_DELAY_NANOS = TimeMath.NANOS_PER_MILLI;

	private final RandomGenerator random;

	private int doublingCount;

	private long endNanos = Long.MIN_VALUE;

	/**
	 * Creates an inactive backoff.
	 * @param random the source of jitter
	 */
	EndpointBackoff(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Records a refusal, which starts a delay unless one is active.
	 * @param initialDelayNanos the delay after the first refusal, in nanoseconds
	 * @param maxDelayNanos the maximum delay before jitter, in nanoseconds
	 * @param nowNanos the current time
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
	 * Records that the endpoint accepted a task, which resets the delay to its initial
	 * value.
	 */
	void recordAcceptance() {
		this.doublingCount = 0;
	}

	/**
	 * Returns whether starts on the endpoint are delayed.
	 * @param nowNanos the current time
	 * @return {@code true} if so
	 */
	boolean active(long nowNanos) {
		return nowNanos < this.endNanos;
	}

	/**
	 * Returns the time at which the delay ends.
	 * @return the time, in nanoseconds of the monotonic clock
	 */
	long endNanos() {
		return this.endNanos;
	}

}
