package org.masticwick.daemon.connection;

import java.util.concurrent.TimeUnit;

/**
 * Tells when something that is done from time to time is due. Not safe for several
 * threads.
 */
final class IntervalTimer {

	private final long intervalNanos;

	private long lastDueNanos;

	private boolean started;

	IntervalTimer(long intervalMillis) {
		this.intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis);
	}

	/**
	 * Returns whether the interval has passed since the last time, and if so, starts it
	 * anew.
	 * @param nowNanos the time
	 * @param forced whether the interval does not matter
	 * @return {@code true} if it is time
	 */
	boolean restartIfDue(long nowNanos, boolean forced) {
		if (this.started && !forced && nowNanos - this.lastDueNanos < this.intervalNanos) {
			return false;
		}
		this.started = true;
		this.lastDueNanos = nowNanos;
		return true;
	}

}
