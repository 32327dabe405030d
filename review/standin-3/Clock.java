package review3;

/**
 * The steady clock of the stand-ins.
 */
final class Clock {

	private static final long START_NANOS = System.nanoTime();

	private Clock() {
	}

	static long nowMillis() {
		return (System.nanoTime() - START_NANOS) / 1_000_000;
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
