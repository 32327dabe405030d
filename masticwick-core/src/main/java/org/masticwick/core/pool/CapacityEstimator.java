package org.masticwick.core.pool;

import java.util.Collection;

/**
 * Learns which share of its capacity a pool can use, from what is in use while tasks
 * wait, and which share it uses while none wait.
 */
final class CapacityEstimator {

	/** The time in which a sample loses most of its weight, in milliseconds. */
	private static final double SHARE_MEMORY_MILLIS = 1_000;

	/**
	 * The memory for the demand while no task waits, in milliseconds; it must outlast an
	 * overload.
	 */
	private static final double DEMAND_MEMORY_MILLIS = 10_000;

	/**
	 * The smallest share that is believed, so that a pool whose endpoints do not answer
	 * for a moment does not refuse everything afterwards.
	 */
	private static final double MIN_SHARE = 0.3;

	private static final long UNSET = Long.MIN_VALUE;

	private double usableShare = 1;

	private double usualDemandShare;

	private int calmSampleCount;

	private long sampledMillis = UNSET;

	/**
	 * Takes a sample after a scheduling pass.
	 * @param endpoints the endpoints of the pool
	 * @param tasksWait whether tasks wait for capacity
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void sample(Collection<PooledEndpoint> endpoints, boolean tasksWait, long nowMillis) {
		long totalMillicores = 0;
		long usedMillicores = 0;
		for (PooledEndpoint endpoint : endpoints) {
			if (endpoint.countsAsCapacity()) {
				long cpuMillicores = endpoint.entry().capacity().cpuMillicores();
				totalMillicores += cpuMillicores;
				usedMillicores += Math.min(cpuMillicores, cpuMillicores - endpoint.free().cpuMillicores());
			}
		}
		if (totalMillicores > 0) {
			observe((double) usedMillicores / totalMillicores, tasksWait, nowMillis);
		}
	}

	/**
	 * Adds a sample.
	 * @param usedShare the share of the capacity in use
	 * @param tasksWait whether tasks wait for capacity
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void observe(double usedShare, boolean tasksWait, long nowMillis) {
		double elapsedMillis = (this.sampledMillis == UNSET) ? 0 : nowMillis - this.sampledMillis;
		this.sampledMillis = nowMillis;
		if (tasksWait) {
			double weight = 1 - Math.exp(-elapsedMillis / SHARE_MEMORY_MILLIS);
			this.usableShare += weight * (Math.max(MIN_SHARE, usedShare) - this.usableShare);
		}
		else {
			// If more is in use than the learnt share, the learnt share is too low.
			this.usableShare = Math.max(this.usableShare, usedShare);
			this.calmSampleCount++;
			double weight = Math.max(1 - Math.exp(-elapsedMillis / DEMAND_MEMORY_MILLIS), 1.0 / this.calmSampleCount);
			this.usualDemandShare += weight * (usedShare - this.usualDemandShare);
		}
	}

	/**
	 * Returns the share of the capacity that tasks can use.
	 * @return the share, from 0 to 1
	 */
	double usableShare() {
		return this.usableShare;
	}

	/**
	 * Returns the share of the capacity that the usual load leaves to callers who return
	 * after a refusal.
	 * @return the share, from 0 to 1
	 */
	double spareShare() {
		return Math.max(0, this.usableShare - this.usualDemandShare);
	}

}
