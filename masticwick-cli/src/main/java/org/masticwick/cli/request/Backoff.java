package org.masticwick.cli.request;

import java.util.random.RandomGenerator;

/**
 * Computes retry delays by exponential backoff with full jitter, so that retries of many
 * clients are spread over time.
 */
final class Backoff {

	private static final long BASE_DELAY_MILLIS = 20;

	private static final long MAX_DELAY_MILLIS = 2_000;

	private static final int MAX_DOUBLING_COUNT = 10;

	private Backoff() {
	}

	/**
	 * Returns the delay before the next attempt: the delay that the host asked for plus
	 * the jitter.
	 * @param previousAttemptCount the number of attempts made so far
	 * @param minDelayMillis the delay that the host asked for, in milliseconds; 0 if none
	 * @param random the source of the jitter
	 * @return the delay in milliseconds
	 */
	static long delayMillis(int previousAttemptCount, long minDelayMillis, RandomGenerator random) {
		long maxJitterMillis = Math.min(MAX_DELAY_MILLIS,
				BASE_DELAY_MILLIS << Math.min(previousAttemptCount, MAX_DOUBLING_COUNT));
		return minDelayMillis + random.nextLong(maxJitterMillis + 1);
	}

}
