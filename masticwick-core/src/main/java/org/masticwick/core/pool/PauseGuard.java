package org.masticwick.core.pool;

/**
 * Detects that the process of an owner was paused, and delays starts after it. Callers'
 * hosts may have given up their jobs during the pause and submitted them elsewhere; the
 * delay lets their messages arrive before a waiting task starts. Both clocks are
 * compared, as the monotonic clock does not count the time in which a machine is
 * suspended.
 */
public final class PauseGuard {

	/**
	 * The longest interval between two ticks that is no pause: a callers' host gives up
	 * 500 ms after the last report of the owner, which may be 125 ms older than the
	 * pause.
	 */
	private static final long MAX_TICK_INTERVAL_MILLIS = 350;

	/** How long starts are delayed, which is longer than an interval of reports. */
	private static final long START_DELAY_MILLIS = 200;

	private long lastTickMillis;

	private long lastTickEpochMillis;

	private long pauseEndMillis = Long.MIN_VALUE / 2;

	/**
	 * Creates a guard of a process that runs.
	 * @param nowMillis the current monotonic time in milliseconds
	 * @param nowEpochMillis the current time of day in milliseconds since the epoch
	 */
	public PauseGuard(long nowMillis, long nowEpochMillis) {
		this.lastTickMillis = nowMillis;
		this.lastTickEpochMillis = nowEpochMillis;
	}

	/**
	 * Records that the periodic work runs.
	 * @param nowMillis the current monotonic time in milliseconds
	 * @param nowEpochMillis the current time of day in milliseconds since the epoch
	 * @return whether the process was paused since the last tick
	 */
	public boolean tick(long nowMillis, long nowEpochMillis) {
		boolean paused = wasPaused(nowMillis, nowEpochMillis);
		if (paused) {
			this.pauseEndMillis = nowMillis;
		}
		this.lastTickMillis = nowMillis;
		this.lastTickEpochMillis = nowEpochMillis;
		return paused;
	}

	private boolean wasPaused(long nowMillis, long nowEpochMillis) {
		return nowMillis - this.lastTickMillis > MAX_TICK_INTERVAL_MILLIS
				|| nowEpochMillis - this.lastTickEpochMillis > MAX_TICK_INTERVAL_MILLIS;
	}

	/**
	 * Returns whether the process has just been paused, so that no task may start.
	 * @param nowMillis the current monotonic time in milliseconds
	 * @param nowEpochMillis the current time of day in milliseconds since the epoch
	 * @return whether starts are delayed
	 */
	public boolean delaysStarts(long nowMillis, long nowEpochMillis) {
		return wasPaused(nowMillis, nowEpochMillis) || nowMillis - this.pauseEndMillis < START_DELAY_MILLIS;
	}

}
