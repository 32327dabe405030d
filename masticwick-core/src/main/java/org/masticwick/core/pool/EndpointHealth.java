package org.masticwick.core.pool;

/**
 * Judges one endpoint by what became of its tasks. After failures of different jobs in a
 * row, or after several runs that were far slower than expected, it gets no task for a
 * while, then a single one at a time until one succeeds.
 */
final class EndpointHealth {

	/** How many jobs in a row must fail before the endpoint is suspected. */
	private static final int MAX_FAILURES_IN_ROW = 2;

	/** How many slow runs in a row make the endpoint suspected. */
	private static final int MAX_SLOW_RUNS_IN_ROW = 2;

	/** The first time without tasks, in milliseconds. */
	private static final long FIRST_PAUSE_MILLIS = 1_000;

	/** The longest time without tasks, in milliseconds. */
	private static final long MAX_PAUSE_MILLIS = 8_000;

	/** The weight of a new sample of the speed. */
	private static final double SPEED_SAMPLE_WEIGHT = 0.1;

	/** How much slower than usual a single run may count, as a factor. */
	private static final double MAX_SLOWNESS_SAMPLE = 4;

	private String lastFailedJob = "";

	private int failuresInRow;

	private int slowRunsInRow;

	private long pauseMillis = FIRST_PAUSE_MILLIS;

	private long pausedUntilMillis;

	private boolean suspected;

	private double logSlowness;

	/**
	 * Returns how many tasks the endpoint may get now.
	 * @param runningCount how many it has
	 * @param nowMillis the time in milliseconds
	 * @return whether it may get one more
	 */
	boolean acceptsTask(int runningCount, long nowMillis) {
		if (!this.suspected) {
			return true;
		}
		return nowMillis >= this.pausedUntilMillis && runningCount == 0;
	}

	boolean isSuspected() {
		return this.suspected;
	}

	/**
	 * Returns how slow the endpoint is, against the mean of all.
	 * @return the factor, 1 for the mean
	 */
	double slowness() {
		return Math.exp(this.logSlowness);
	}

	void succeeded(double slownessFactor) {
		this.failuresInRow = 0;
		this.slowRunsInRow = 0;
		this.suspected = false;
		this.pauseMillis = FIRST_PAUSE_MILLIS;
		double logSample = Math.log(Math.min(Math.max(slownessFactor, 1 / MAX_SLOWNESS_SAMPLE), MAX_SLOWNESS_SAMPLE));
		this.logSlowness += SPEED_SAMPLE_WEIGHT * (logSample - this.logSlowness);
	}

	/**
	 * Takes note of a failed task.
	 * @param jobId its job
	 * @param nowMillis the time in milliseconds
	 * @return whether the endpoint has just become suspected
	 */
	boolean failed(String jobId, long nowMillis) {
		if (jobId.equals(this.lastFailedJob)) {
			return false;
		}
		this.lastFailedJob = jobId;
		this.failuresInRow++;
		return (this.suspected || this.failuresInRow >= MAX_FAILURES_IN_ROW) && suspect(nowMillis);
	}

	/**
	 * Takes note of a run that is far slower than expected.
	 * @param nowMillis the time in milliseconds
	 * @return whether the endpoint has just become suspected
	 */
	boolean slow(long nowMillis) {
		this.slowRunsInRow++;
		return (this.suspected || this.slowRunsInRow >= MAX_SLOW_RUNS_IN_ROW) && suspect(nowMillis);
	}

	/**
	 * Takes note that the endpoint itself says it can't take work.
	 * @param nowMillis the time in milliseconds
	 * @return whether the endpoint has just become suspected
	 */
	boolean reportedUnhealthy(long nowMillis) {
		return suspect(nowMillis);
	}

	private boolean suspect(long nowMillis) {
		boolean first = !this.suspected;
		if (first || nowMillis >= this.pausedUntilMillis) {
			this.pausedUntilMillis = nowMillis + this.pauseMillis;
			this.pauseMillis = Math.min(2 * this.pauseMillis, MAX_PAUSE_MILLIS);
		}
		this.suspected = true;
		return first;
	}

}
