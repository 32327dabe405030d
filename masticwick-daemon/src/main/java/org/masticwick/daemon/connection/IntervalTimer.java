package org.masticwick.daemon.connection;

import java.util.concurrent.TimeUnit;

/**
 * Determines when a periodic action is due. Not safe for several threads.
 */
final class IntervalTimer {

	private final long intervalNanos;

	private long lastDueNanos;

	private boolean started;

	IntervalTimer(long intervalMillis) {
		this.intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis);
	}

	/**
	 * Returns whether the action is due: the interval has elapsed since it was last due,
	 * it was never due before, or it is forced. If it is due, the interval restarts.
	 * @param nowNanos the current time on the monotonic clock
	 * @param forced whether the action is due regardless of the interval
	 * @return {@code true} if the action is due
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
