package org.masticwick.platform;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Draws the delays between tries: twice as long after each failure up to a bound, and
 * spread so that many hosts do not come back at once.
 */
public final class Backoff {

	private static final int MAX_DOUBLING_COUNT = 16;

	private final Duration min;

	private final Duration max;

	private final RandomGenerator random;

	/**
	 * Creates a backoff.
	 * @param min the delay after the first failure at most
	 * @param max the delay after many failures at most
	 * @param random the source of the spread
	 */
	public Backoff(Duration min, Duration max, RandomGenerator random) {
		this.min = min;
		this.max = max;
		this.random = random;
	}

	/**
	 * Draws a delay.
	 * @param failureCount how many failures came before the last one
	 * @return the delay, from half of its bound up to it
	 */
	public Duration delay(int failureCount) {
		long doubled = this.min.toNanos() << Math.min(failureCount, MAX_DOUBLING_COUNT);
		long boundNanos = Math.min(doubled, this.max.toNanos());
		return Duration.ofNanos(boundNanos / 2 + this.random.nextLong(boundNanos / 2 + 1));
	}

}
