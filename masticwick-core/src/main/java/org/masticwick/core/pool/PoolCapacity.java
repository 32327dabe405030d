package org.masticwick.core.pool;

/**
 * The processor capacity of a pool.
 *
 * @param totalMillicores the capacity in thousandths of a core
 * @param usableShare the share of it that tasks can use, because they do not fill
 * endpoints exactly
 */
record PoolCapacity(long totalMillicores, double usableShare) {

	double usableMillicores() {
		return this.totalMillicores * this.usableShare;
	}

	/**
	 * Returns how long the pool needs for some work.
	 * @param work the work in thousandths of a core times milliseconds
	 * @return the time in milliseconds, or 0 without capacity
	 */
	double drainMillis(double work) {
		double usableMillicores = usableMillicores();
		return (usableMillicores > 0) ? work / usableMillicores : 0;
	}

}
