package org.masticwick.core.request.internal;

import java.util.random.RandomGenerator;

/**
 * Conversions between time units and other calculations with times.
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
	 * Returns the remaining fraction of a quantity that decays exponentially.
	 * @param elapsedNanos the elapsed time, in nanoseconds
	 * @param timeConstantNanos the time in which the quantity falls to 1/e, in
	 * nanoseconds
	 * @return the remaining fraction, 0 to 1
	 */
	static double decayFactor(double elapsedNanos, double timeConstantNanos) {
		return (elapsedNanos <= 0) ? 1 : Math.exp(-elapsedNanos / Math.max(1, timeConstantNanos));
	}

	/**
	 * Converts nanoseconds to whole milliseconds, rounded up.
	 * @param nanos the time in nanoseconds
	 * @return the time in milliseconds
	 */
	static long toMillis(double nanos) {
		return (long) Math.ceil(Math.max(0, nanos) / NANOS_PER_MILLI);
	}

	/**
	 * Converts milliseconds to nanoseconds.
	 * @param millis the time in milliseconds
	 * @return the time in nanoseconds
	 */
	static long toNanos(double millis) {
		return (long) (millis * NANOS_PER_MILLI);
	}

	/**
	 * Returns the delay after which a caller should retry, with jitter so that callers
	 * don't retry at the same time.
	 * @param drainNanos the expected time until capacity is available, in nanoseconds
	 * @param random the source of jitter
	 * @return the delay in milliseconds
	 */
	static long retryAfterMillis(double drainNanos, RandomGenerator random) {
		double spread = 1 + RETRY_AFTER_JITTER * random.nextDouble();
		long millis = toMillis(Math.min(drainNanos, MAX_RETRY_AFTER_MILLIS * NANOS_PER_MILLI) * spread);
		return Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, millis));
	}

}
