package org.masticwick.platform;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Computes the delays between retries: exponential backoff up to a maximum, with jitter
 * so that hosts that failed together do not retry at the same time.
 */
public final class Backoff {

	private static final int MAX_DOUBLING_COUNT = 16;

	private final Duration min;

	private final Duration max;

	private final RandomGenerator random;

	/**
	 * Creates a backoff.
	 * @param min the upper bound of the first delay
	 * @param max the upper bound of all delays
	 * @param random the source of the jitter
	 */
	public Backoff(Duration min, Duration max, RandomGenerator random) {
		this.min = min;
		this.max = max;
		this.random = random;
	}

	/**
	 * Returns a random delay before the next retry. Its upper bound doubles with each
	 * failure.
	 * @param failureCount the number of consecutive failures before the last one
	 * @return the delay, between half of its upper bound and the bound
	 */
	public Duration delay(int failureCount) {
		long doubledNanos = this.min.toNanos() << Math.min(failureCount, MAX_DOUBLING_COUNT);
		long boundNanos = Math.min(doubledNanos, this.max.toNanos());
		return Duration.ofNanos(boundNanos / 2 + this.random.nextLong(boundNanos / 2 + 1));
	}

}
