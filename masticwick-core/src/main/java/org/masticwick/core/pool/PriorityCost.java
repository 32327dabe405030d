package org.masticwick.core.pool;

/**
 * The cost of refusing work of a queue by priority: the weight of the queue's priority,
 * times a part that is equal for all jobs and a part that grows with the mean work of the
 * queue's jobs, per unit of work. The size of a single job does not count.
 * <p>
 * For priority 0 the cost is infinite, so that others are refused first. Below, it grows
 * with the share that was refused lately, so that no queue bears all refusals.
 */
final class PriorityCost implements RefusalCost {

	/** The part of the cost of a job that does not depend on its work. */
	private static final double FIXED_PART = 0.3;

	@Override
	public double perWork(QueueShare queue, double poolMeanWork) {
		if (queue.priority() <= 0) {
			return Double.POSITIVE_INFINITY;
		}
		double weight = Math.pow(2, -queue.priority());
		// Nothing is known of a queue whose jobs were submitted to another owner.
		double meanWork = Math.max(1, (queue.meanWork() > 0) ? queue.meanWork() : poolMeanWork);
		double jobCost = weight * (FIXED_PART + (1 - FIXED_PART) * meanWork / Math.max(1, poolMeanWork));
		return jobCost / meanWork / (1 - queue.refusedShare());
	}

}
