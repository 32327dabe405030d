package org.masticwick.core.pool;

/**
 * Tells what it costs to refuse work of a queue.
 */
@FunctionalInterface
interface RefusalCost {

	/**
	 * Returns the cost of refusing a unit of work of a queue.
	 * @param queue the queue
	 * @param poolMeanWork the mean work of all jobs of the pool, in thousandths of a core
	 * times milliseconds
	 * @return the cost, relative to that of other queues
	 */
	double perWork(QueueShare queue, double poolMeanWork);

}
