package org.masticwick.daemon.version;

import java.time.Duration;

import org.masticwick.core.process.TimeSource;

/**
 * Clock that tests advance by hand.
 */
final class ManualTime implements TimeSource {

	private long nanos = 1_000_000_000L;

	void advance(Duration duration) {
		this.nanos += duration.toNanos();
	}

	@Override
	public long nanoTime() {
		return this.nanos;
	}

	@Override
	public long epochMillis() {
		return this.nanos / 1_000_000;
	}

}
