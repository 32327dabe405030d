package org.masticwick.fleet.process;

import java.util.concurrent.TimeUnit;

/**
 * The clocks of the process: the monotonic one, and the one of the day.
 */
public final class Clock {

	/** Simulations replace the source, which is the system otherwise. */
	private static volatile Source source = new SystemSource();

	private Clock() {
	}

	/**
	 * Returns the monotonic time.
	 * @return the time in milliseconds from an arbitrary origin
	 */
	public static long nowMillis() {
		return source.monotonicMillis();
	}

	/**
	 * Returns the time of day, which may jump.
	 * @return the time in milliseconds since 1970
	 */
	static long epochMillis() {
		return source.epochMillis();
	}

	/**
	 * Replaces the source of both clocks for the whole process.
	 * @param newSource the new source
	 */
	static void useSource(Source newSource) {
		source = newSource;
	}

	/**
	 * Returns to the clocks of the system.
	 */
	static void useSystemSource() {
		source = new SystemSource();
	}

	/**
	 * A source of time.
	 */
	interface Source {

		/**
		 * Returns the monotonic time.
		 * @return the time in milliseconds from an arbitrary origin
		 */
		long monotonicMillis();

		/**
		 * Returns the time of day.
		 * @return the time in milliseconds since 1970
		 */
		long epochMillis();

	}

	private static final class SystemSource implements Source {

		@Override
		public long monotonicMillis() {
			return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
		}

		@Override
		public long epochMillis() {
			return System.currentTimeMillis();
		}

	}

}
