package org.masticwick.core.request.internal;

/**
 * Ranks the jobs of one team. A rank doesn't change while time passes.
 */
@FunctionalInterface
interface JobOrder {

	/** The order of arrival. */
	JobOrder ARRIVAL = (job, slotCount) -> job.admittedNanos();

	/**
	 * The least work left goes first. A job gains on younger ones as fast as it ages, so
	 * that none starves: one that arrives later than the time that the work takes comes
	 * behind.
	 */
	JobOrder LEAST_WORK = (job, slotCount) -> job.admittedNanos()
			+ Constants.WORK_WEIGHT * job.queuedWorkNanos() / Math.max(1, slotCount);

	/**
	 * Returns the rank of a job.
	 * @param job the job
	 * @param slotCount on how many slots its tasks may run at once
	 * @return the rank; least goes first
	 */
	double rank(JobEntry job, double slotCount);

	/**
	 * Returns the order of a name.
	 * @param name the value of the rule
	 * @return the order; the least work first for an unknown name
	 */
	static JobOrder of(String name) {
		return "arrival".equals(name) ? ARRIVAL : LEAST_WORK;
	}

	/**
	 * Holds the constants of the orders.
	 */
	final class Constants {

		static final double WORK_WEIGHT = 4;

		private Constants() {
		}

	}

}
