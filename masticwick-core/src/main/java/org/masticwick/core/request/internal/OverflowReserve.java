package org.masticwick.core.request.internal;

/**
 * Fades how many slots a host leaves to the owners of endpoints while its own work waits
 * and nothing starts, so that an idle slot is not kept from waiting work for long.
 */
final class OverflowReserve {

	private static final double FADE_NANOS = 250 * Times.NANOS_PER_MILLI;

	private boolean waiting;

	private long sinceNanos;

	/**
	 * Returns how many slots to leave free on endpoints of others. To be asked only while
	 * work waits.
	 * @param fullCount how many there are while starts go on
	 * @param nowNanos the time
	 * @return the count
	 */
	int count(int fullCount, long nowNanos) {
		if (!this.waiting) {
			this.waiting = true;
			this.sinceNanos = nowNanos;
		}
		double part = 1 - (nowNanos - this.sinceNanos) / FADE_NANOS;
		return (int) Math.ceil(fullCount * Math.max(0, part));
	}

	/**
	 * Notes that a task was started.
	 */
	void started() {
		this.waiting = false;
	}

}
