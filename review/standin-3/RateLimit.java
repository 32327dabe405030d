package review3;

/**
 * Admits a number of calls in each second.
 */
final class RateLimit {

	private static final long SECOND_MILLIS = 1_000;

	private final int callsPerSecond;

	private long second = -1;

	private int count;

	RateLimit(int callsPerSecond) {
		this.callsPerSecond = callsPerSecond;
	}

	synchronized boolean admit() {
		long nowSecond = Clock.nowMillis() / SECOND_MILLIS;
		if (nowSecond != this.second) {
			this.second = nowSecond;
			this.count = 0;
		}
		this.count++;
		return this.count <= this.callsPerSecond;
	}

}
