package org.masticwick.core.request.internal;

import java.util.List;

/**
 * Ranks the jobs of one team. The rank of a job does not depend on the current time, so
 * that jobs can stay in an ordered set.
 */
@FunctionalInterface
interface JobOrder {

	/** The names of the orders, sorted. */
	List<String> NAMES = List.of("arrival", "least-work");

	/** Ranks jobs by arrival. */
	JobOrder ARRIVAL = (job, slotCount) -> job.admittedNanos();

	/**
	 * Ranks jobs by arrival time plus a delay that grows with the job's queued work, so
	 * that jobs with little work start first. The delay is bounded, so that no job
	 * starves behind later ones.
	 */
	JobOrder LEAST_WORK = (job, slotCount) -> {
		double workNanos = Constants.WORK_WEIGHT * job.queuedWorkNanos() / Math.max(1, slotCount);
		return job.admittedNanos() + Constants.MAX_DELAY_NANOS * workNanos / (workNanos + Constants.MAX_DELAY_NANOS);
	};

	/**
	 * Returns the rank of a job.
	 * @param job the job
	 * @param slotCount the number of slots on which its tasks can run at once
	 * @return the rank; the job with the lowest rank starts first
	 */
	double rank(JobEntry job, double slotCount);

	/**
	 * Returns the order with a name.
	 * @param name the value of the rule
	 * @return the order; {@link #LEAST_WORK} for an unknown name
	 */
	static JobOrder of(String name) {
		return "arrival".equals(name) ? ARRIVAL : LEAST_WORK;
	}

	/**
	 * The constants of the orders.
	 */
	final class Constants {

		static final double WORK_WEIGHT = 64;

		static final double MAX_DELAY_NANOS = 10 * TimeMath.NANOS_PER_SECOND;

		private Constants() {
		}

	}

}
