package org.masticwick.core.pool;

/**
 * How run times of a simulated load deviate beyond the estimates of callers.
 *
 * @param longTaskShare the share of tasks that take far longer than their mean wherever
 * they run
 * @param longTaskFactor the factor on the run time of these tasks
 * @param disturbedShare the share of endpoints that become slow for a while
 * @param disturbedFactor the factor on run times on these endpoints meanwhile
 * @param disturbedFromMillis when they become slow, in milliseconds
 * @param disturbedToMillis when they are as fast as before again, in milliseconds
 */
record RunVariation(double longTaskShare, double longTaskFactor, double disturbedShare, double disturbedFactor,
		long disturbedFromMillis, long disturbedToMillis) {

	/** Run times vary at each run, and no endpoint becomes slow. */
	static final RunVariation NONE = new RunVariation(0, 1, 0, 1, 0, 0);

	/** Three percent of the tasks take seven times their mean. */
	static final RunVariation LONG_TASKS = new RunVariation(0.03, 7, 0, 1, 0, 0);

	/**
	 * Makes some endpoints slow for six seconds.
	 * @param share the share of endpoints
	 * @param factor the factor on run times
	 * @return the variation
	 */
	RunVariation disturbed(double share, double factor) {
		return new RunVariation(this.longTaskShare, this.longTaskFactor, share, factor, 6_000, 12_000);
	}

	/**
	 * Returns whether run times are a property of the task, so that a restarted task
	 * takes as long as before.
	 * @return whether run times are fixed by task
	 */
	boolean isFixedByTask() {
		return this.longTaskShare > 0;
	}

	boolean hasDisturbance() {
		return this.disturbedShare > 0;
	}

}
