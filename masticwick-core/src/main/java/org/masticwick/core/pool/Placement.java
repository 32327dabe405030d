package org.masticwick.core.pool;

/**
 * One run of a task on an endpoint, from the order until its end is certain.
 */
final class Placement {

	private final PooledTask task;

	private final TaskRun run;

	private final PooledEndpoint endpoint;

	private final long orderedMillis;

	private final double expectedMillis;

	private long acceptedMillis = -1;

	private int percent;

	private boolean countedAsSlow;

	private boolean stopping;

	private long stopSentMillis;

	private long stopConfirmedMillis = -1;

	Placement(PooledTask task, TaskRun run, PooledEndpoint endpoint, long orderedMillis, double expectedMillis) {
		this.task = task;
		this.run = run;
		this.endpoint = endpoint;
		this.orderedMillis = orderedMillis;
		this.expectedMillis = expectedMillis;
	}

	PooledTask task() {
		return this.task;
	}

	TaskRun run() {
		return this.run;
	}

	PooledEndpoint endpoint() {
		return this.endpoint;
	}

	long orderedMillis() {
		return this.orderedMillis;
	}

	double expectedMillis() {
		return this.expectedMillis;
	}

	boolean isAccepted() {
		return this.acceptedMillis >= 0;
	}

	long acceptedMillis() {
		return this.acceptedMillis;
	}

	void accept(long nowMillis) {
		if (this.acceptedMillis < 0) {
			this.acceptedMillis = nowMillis;
		}
	}

	int percent() {
		return this.percent;
	}

	void percent(int reachedPercent) {
		this.percent = reachedPercent;
	}

	boolean isCountedAsSlow() {
		return this.countedAsSlow;
	}

	void countAsSlow() {
		this.countedAsSlow = true;
	}

	boolean isStopping() {
		return this.stopping;
	}

	long stopSentMillis() {
		return this.stopSentMillis;
	}

	void stopSent(long nowMillis) {
		this.stopping = true;
		this.stopSentMillis = nowMillis;
	}

	long stopConfirmedMillis() {
		return this.stopConfirmedMillis;
	}

	void stopConfirmed(long nowMillis) {
		if (this.stopConfirmedMillis < 0) {
			this.stopConfirmedMillis = nowMillis;
		}
	}

	/**
	 * Returns how long the run will take in all, judged by its progress.
	 * @param nowMillis the time in milliseconds
	 * @return the run time in milliseconds
	 */
	double projectedMillis(long nowMillis) {
		double elapsedMillis = nowMillis - this.orderedMillis;
		return elapsedMillis * 100 / Math.max(1, this.percent);
	}

}
