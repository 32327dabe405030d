package org.masticwick.cli.request;

import java.util.random.RandomGenerator;

/**
 * Spreads retries by exponential backoff with full jitter.
 */
final class Backoff {

	private static final long FIRST_MILLIS = 20;

	private static final long LAST_MILLIS = 2_000;

	private static final int MAX_DOUBLING_COUNT = 10;

	private Backoff() {
	}

	/**
	 * Returns how long to wait before an attempt.
	 * @param attemptIndex how many attempts were made before
	 * @param atLeastMillis what the host asked for, in milliseconds
	 * @param random the source of the jitter
	 * @return the wait in milliseconds
	 */
	static long millis(int attemptIndex, long atLeastMillis, RandomGenerator random) {
		long ceiling = Math.min(LAST_MILLIS, FIRST_MILLIS << Math.min(attemptIndex, MAX_DOUBLING_COUNT));
		return atLeastMillis + random.nextLong(ceiling + 1);
	}

}
