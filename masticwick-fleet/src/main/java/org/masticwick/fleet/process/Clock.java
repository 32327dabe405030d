package org.masticwick.fleet.process;

import java.util.concurrent.TimeUnit;

/**
 * The monotonic clock of the process.
 */
public final class Clock {

	private Clock() {
	}

	/**
	 * Returns the monotonic time.
	 * @return the time in milliseconds from an arbitrary origin
	 */
	public static long nowMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

}
