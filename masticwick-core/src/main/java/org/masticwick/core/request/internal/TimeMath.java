package org.masticwick.core.request.internal;

import java.util.random.RandomGenerator;

/**
 * Computes with times.
 */
final class TimeMath {

	/** Nanoseconds in a millisecond. */
	static final double NANOS_PER_MILLI = 1_000_000;

	/** Nanoseconds in a second. */
	static final double NANOS_PER_SECOND = 1_000_000_000;

	private static final long MIN_RETRY_AFTER_MILLIS = 100;

	private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

	private static final double RETRY_AFTER_JITTER = 0.5;

	private TimeMath() {
	}

	/**
	 * Returns what is left of a quantity that decays.
	 * @param elapsedNanos the time that passed, in nanoseconds
	 * @param timeConstantNanos the time in which it falls to 1/e, in nanoseconds
	 * @return the part that is left, 0 to 1
	 */
	static double decayFactor(double elapsedNanos, double timeConstantNanos) {
		return (elapsedNanos <= 0) ? 1 : Math.exp(-elapsedNanos / Math.max(1, timeConstantNanos));
	}

	/**
	 * Turns a time into whole milliseconds, rounded up.
	 * @param nanos the time in nanoseconds
	 * @return the time in milliseconds
	 */
	static long toMillis(double nanos) {
		return (long) Math.ceil(Math.max(0, nanos) / NANOS_PER_MILLI);
	}

	/**
	 * Turns a time in milliseconds into nanoseconds.
	 * @param millis the time in milliseconds
	 * @return the time in nanoseconds
	 */
	static long toNanos(double millis) {
		return (long) (millis * NANOS_PER_MILLI);
	}

	/**
	 * Returns when a caller should come back, spread so that callers don't come together.
	 * @param drainNanos the expected time until there is room, in nanoseconds
	 * @param random the source of the spread
	 * @return the time in milliseconds from now
	 */
	static long retryAfterMillis(double drainNanos, RandomGenerator random) {
		double spread = 1 + RETRY_AFTER_JITTER * random.nextDouble();
		long millis = toMillis(Math.min(drainNanos, MAX_RETRY_AFTER_MILLIS * NANOS_PER_MILLI) * spread);
		return Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, millis));
	}

}
