package org.masticwick.core.process;

/**
 * Tells the time to code that must not read a clock by itself.
 */
public interface TimeSource {

	/**
	 * Returns the time since an arbitrary origin; it never goes back.
	 * @return the time in nanoseconds
	 */
	long nanoTime();

	/**
	 * Returns the time of day.
	 * @return milliseconds since the epoch
	 */
	long epochMillis();

	/**
	 * Returns the clock of the machine. Its time of day is read once and then follows the
	 * monotonic clock, so that it never goes back within a process.
	 * @return the time source
	 */
	static TimeSource system() {
		return SystemTimeSource.INSTANCE;
	}

}
