package org.masticwick.core.request.internal;

/**
 * Ranks the jobs of one team. A rank doesn't change while time passes.
 */
@FunctionalInterface
interface JobOrder {

	/** The order of arrival. */
	JobOrder ARRIVAL = (job, slotCount) -> job.admittedNanos();

	/**
	 * The least work left goes first. A job gains on younger ones as fast as it ages, and
	 * the lead of younger ones is bounded, so that none starves.
	 */
	JobOrder LEAST_WORK = (job, slotCount) -> {
		double workNanos = Constants.WORK_WEIGHT * job.queuedWorkNanos() / Math.max(1, slotCount);
		return job.admittedNanos() + Constants.MAX_DELAY_NANOS * workNanos / (workNanos + Constants.MAX_DELAY_NANOS);
	};

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

		static final double WORK_WEIGHT = 64;

		static final double MAX_DELAY_NANOS = 10 * TimeMath.NANOS_PER_SECOND;

		private Constants() {
		}

	}

}
