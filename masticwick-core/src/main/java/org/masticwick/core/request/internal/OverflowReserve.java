package org.masticwick.core.request.internal;

/**
 * The number of slots that a host leaves free on endpoints of peers. It falls to 0 while
 * tasks of the host are queued and none starts, so that idle slots are not withheld from
 * queued tasks for long.
 */
final class OverflowReserve {

	private static final double FADE_OUT_NANOS = 250 * TimeMath.NANOS_PER_MILLI;

	private boolean fading;

	private long fadingSinceNanos;

	/**
	 * Returns the number of slots to leave free on endpoints of peers. Must only be
	 * called while tasks are queued.
	 * @param maxCount the number while tasks are being started
	 * @param nowNanos the current time
	 * @return the count
	 */
	int reservedCount(int maxCount, long nowNanos) {
		if (!this.fading) {
			this.fading = true;
			this.fadingSinceNanos = nowNanos;
		}
		double remainingFraction = 1 - (nowNanos - this.fadingSinceNanos) / FADE_OUT_NANOS;
		return (int) Math.ceil(maxCount * Math.max(0, remainingFraction));
	}

	/**
	 * Records that a task was started, which restores the full reserve.
	 */
	void reset() {
		this.fading = false;
	}

}
