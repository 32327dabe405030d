package org.masticwick.core.process;

/**
 * Provides the current time to code that must not read the system clock directly.
 */
public interface TimeSource {

	/**
	 * Returns the time since an arbitrary origin, which never decreases.
	 * @return the time in nanoseconds
	 */
	long nanoTime();

	/**
	 * Returns the time of day.
	 * @return the time in milliseconds since the epoch
	 */
	long epochMillis();

	/**
	 * Returns the clock of the machine. Its time of day is read once and then advances
	 * with the monotonic clock, so that it never decreases within a process.
	 * @return the time source
	 */
	static TimeSource system() {
		return SystemTimeSource.INSTANCE;
	}

}
