package org.masticwick.core.process;

import java.util.concurrent.TimeUnit;

/**
 * Reads the monotonic clock of the machine. Derives the time of day from it, starting at
 * the time of day when this class was loaded.
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
