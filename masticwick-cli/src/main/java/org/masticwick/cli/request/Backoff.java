package org.masticwick.cli.request;

import java.util.random.RandomGenerator;

/**
 * Spreads retries by exponential backoff with full jitter.
 */
final class Backoff {

	private static final long BASE_DELAY_MILLIS = 20;

	private static final long MAX_DELAY_MILLIS = 2_000;

	private static final int MAX_DOUBLING_COUNT = 10;

	private Backoff() {
	}

	/**
	 * Returns how long to wait before an attempt.
	 * @param previousAttemptCount how many attempts were made before
	 * @param minDelayMillis what the host asked for, in milliseconds
	 * @param random the source of the jitter
	 * @return the wait in milliseconds
	 */
	static long delayMillis(int previousAttemptCount, long minDelayMillis, RandomGenerator random) {
		long maxJitterMillis = Math.min(MAX_DELAY_MILLIS,
				BASE_DELAY_MILLIS << Math.min(previousAttemptCount, MAX_DOUBLING_COUNT));
		return minDelayMillis + random.nextLong(maxJitterMillis + 1);
	}

}
