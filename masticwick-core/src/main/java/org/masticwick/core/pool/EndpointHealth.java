package org.masticwick.core.pool;

import java.util.function.IntSupplier;

/**
 * Assesses an endpoint by the results of its runs. After consecutive failures of
 * different jobs, or several runs far slower than expected, the endpoint is suspected: it
 * gets no task during a pause, then a single one at a time until one succeeds. A
 * long-running task, which never ends as done, succeeds by being at work. Slow runs count
 * by how rare they are in their queues.
 */
final class EndpointHealth {

	/** How many different jobs must fail in a row before the endpoint is suspected. */
	private static final int MAX_FAILURES_IN_ROW = 2;

	/** How many slow runs in a row make the endpoint suspected. */
	private static final int MAX_SLOW_RUNS_IN_ROW = 2;

	/**
	 * An endpoint is slow if at most this share of healthy endpoints would have as many
	 * runs in a row that are as long.
	 */
	static final double MAX_CHANCE = 0.0025;

	/** The first pause of a suspected endpoint, in milliseconds. */
	private static final long FIRST_PAUSE_MILLIS = 1_000;

	/** The longest pause of a suspected endpoint, in milliseconds. */
	private static final long MAX_PAUSE_MILLIS = 8_000;

	/** The weight of a new sample in the moving average of the slowness. */
	private static final double SPEED_SAMPLE_WEIGHT = 0.1;

	/** The bound on a single slowness sample, as a factor in both directions. */
	private static final double MAX_SLOWNESS_SAMPLE = 4;

	private String lastFailedJob = "";

	private int failuresInRow;

	private int slowRunsInRow;

	private double chanceOfSlowRuns = 1;

	private long pauseMillis = FIRST_PAUSE_MILLIS;

	private long pausedUntilMillis;

	private boolean suspected;

	private double logSlowness;

	private double slowness = 1;

	/**
	 * Returns whether the endpoint may get another task now.
	 * @param unprovenRunCount counts its runs that have not succeeded yet
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return whether it may get another task
	 */
	boolean acceptsTask(IntSupplier unprovenRunCount, long nowMillis) {
		if (!this.suspected) {
			return true;
		}
		return nowMillis >= this.pausedUntilMillis && unprovenRunCount.getAsInt() == 0;
	}

	boolean isSuspected() {
		return this.suspected;
	}

	/**
	 * Returns how slow the endpoint is relative to the expected run times.
	 * @return the factor, 1 for the expected speed
	 */
	double slowness() {
		return this.slowness;
	}

	/**
	 * Forgets how slow the endpoint was, because it has restarted.
	 */
	void restarted() {
		this.slowRunsInRow = 0;
		this.chanceOfSlowRuns = 1;
		this.logSlowness = 0;
		this.slowness = 1;
	}

	/**
	 * Records that a long-running task has begun its work here. That tells nothing of the
	 * endpoint's speed.
	 */
	void taskAtWork() {
		this.failuresInRow = 0;
		this.suspected = false;
		this.pauseMillis = FIRST_PAUSE_MILLIS;
	}

	void succeeded(double slownessFactor) {
		taskAtWork();
		this.slowRunsInRow = 0;
		this.chanceOfSlowRuns = 1;
		double logSample = Math.log(Math.min(Math.max(slownessFactor, 1 / MAX_SLOWNESS_SAMPLE), MAX_SLOWNESS_SAMPLE));
		this.logSlowness += SPEED_SAMPLE_WEIGHT * (logSample - this.logSlowness);
		this.slowness = Math.exp(this.logSlowness);
	}

	/**
	 * Records a failed run. Repeated failures of the same job count once.
	 * @param jobId the id of its job
	 * @param nowMillis the current monotonic time in milliseconds
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
	 * Records a run that is far slower than expected, or has become slower still.
	 * @param newRun whether the run was not recorded before
	 * @param chance how often a run of its queue that has taken as long as recorded
	 * before, takes as long as now on a healthy endpoint; above 0 and at most 1
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return whether the endpoint has just become suspected
	 */
	boolean slow(boolean newRun, double chance, long nowMillis) {
		this.slowRunsInRow += newRun ? 1 : 0;
		this.chanceOfSlowRuns *= chance;
		boolean newEvidence = newRun || !this.suspected;
		return newEvidence && isSlow() && (this.suspected || this.slowRunsInRow >= MAX_SLOW_RUNS_IN_ROW)
				&& suspect(nowMillis);
	}

	/**
	 * Returns whether the runs since the last one that completed are so slow that the
	 * endpoint is the likely cause.
	 * @return whether slow runs should be moved to other endpoints
	 */
	boolean isSlow() {
		return this.chanceOfSlowRuns <= MAX_CHANCE;
	}

	/**
	 * Records that the endpoint refused a start because it is unhealthy.
	 * @param nowMillis the current monotonic time in milliseconds
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
