package org.masticwick.core.process;

import java.util.concurrent.TimeUnit;

/**
 * Reads the monotonic clock of the machine, anchored to the time of day at start.
 */
enum SystemTimeSource implements TimeSource {

	INSTANCE;

	private final long originNanos = System.nanoTime();

	private final long originEpochMillis = System.currentTimeMillis();

	@Override
	public long nanoTime() {
		return System.nanoTime();
	}

	@Override
	public long epochMillis() {
		return this.originEpochMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.originNanos);
	}

}
