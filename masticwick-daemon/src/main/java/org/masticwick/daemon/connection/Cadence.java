package org.masticwick.daemon.connection;

import java.util.concurrent.TimeUnit;

/**
 * Tells when something that is done from time to time is due. Not safe for several
 * threads.
 */
final class Cadence {

	private final long intervalNanos;

	private long lastNanos;

	private boolean started;

	Cadence(long intervalMillis) {
		this.intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis);
	}

	/**
	 * Returns whether the interval has passed since the last time, and if so, starts it
	 * anew.
	 * @param nowNanos the time
	 * @param forced whether the interval does not matter
	 * @return {@code true} if it is time
	 */
	boolean isDue(long nowNanos, boolean forced) {
		if (this.started && !forced && nowNanos - this.lastNanos < this.intervalNanos) {
			return false;
		}
		this.started = true;
		this.lastNanos = nowNanos;
		return true;
	}

}
