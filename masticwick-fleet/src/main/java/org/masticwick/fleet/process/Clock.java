package org.masticwick.fleet.process;

import java.util.concurrent.TimeUnit;

/**
 * Tells the time that never falls.
 */
public final class Clock {

	private Clock() {
	}

	/**
	 * Returns the steady time.
	 * @return the time in milliseconds from an arbitrary origin
	 */
	public static long nowMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

}
