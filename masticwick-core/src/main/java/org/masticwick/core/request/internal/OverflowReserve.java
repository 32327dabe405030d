package org.masticwick.core.request.internal;

/**
 * Fades how many slots a host leaves to the owners of endpoints while its own work waits
 * and nothing starts, so that an idle slot is not kept from waiting work for long.
 */
final class OverflowReserve {

	private static final double FADE_OUT_NANOS = 250 * TimeMath.NANOS_PER_MILLI;

	private boolean waiting;

	private long waitingSinceNanos;

	/**
	 * Returns how many slots to leave free on endpoints of others. To be asked only while
	 * work waits.
	 * @param maxCount how many there are while starts go on
	 * @param nowNanos the time
	 * @return the count
	 */
	int reservedCount(int maxCount, long nowNanos) {
		if (!this.waiting) {
			this.waiting = true;
			this.waitingSinceNanos = nowNanos;
		}
		double remainingFraction = 1 - (nowNanos - this.waitingSinceNanos) / FADE_OUT_NANOS;
		return (int) Math.ceil(maxCount * Math.max(0, remainingFraction));
	}

	/**
	 * Notes that a task was started.
	 */
	void reset() {
		this.waiting = false;
	}

}
