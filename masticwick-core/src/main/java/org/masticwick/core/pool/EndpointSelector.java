package org.masticwick.core.pool;

import java.util.Collection;
import java.util.Optional;

/**
 * Chooses the endpoint for a task: the one that the task fills best, and among such ones
 * the faster.
 */
final class EndpointSelector {

	/** What a factor of one in speed is worth, in thousandths of a core left over. */
	private static final double SLOWNESS_MILLICORES = 20_000;

	/** What running away from the data costs, in thousandths of a core left over. */
	private static final double FAR_FROM_DATA_MILLICORES = 1_000_000;

	private final long responseTimeoutMillis;

	EndpointSelector(long responseTimeoutMillis) {
		this.responseTimeoutMillis = responseTimeoutMillis;
	}

	/**
	 * Chooses an endpoint.
	 * @param task the task
	 * @param endpoints the endpoints of the pool
	 * @param nowMillis the time in milliseconds
	 * @return the endpoint, or empty if the task has to wait
	 */
	Optional<PooledEndpoint> select(PooledTask task, Collection<PooledEndpoint> endpoints, long nowMillis) {
		PooledEndpoint best = null;
		double bestCost = Double.MAX_VALUE;
		for (PooledEndpoint endpoint : endpoints) {
			if (endpoint.free().fits(task.step().reserved()) && isEligible(endpoint, task, nowMillis)) {
				double cost = cost(endpoint, task.step());
				if (cost < bestCost) {
					best = endpoint;
					bestCost = cost;
				}
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Returns whether an endpoint could ever run a task.
	 * @param task the task
	 * @param endpoint the endpoint
	 * @return whether it could if it were empty
	 */
	boolean couldRun(PooledTask task, PooledEndpoint endpoint) {
		EndpointEntry entry = endpoint.entry();
		return endpoint.isListed() && entry.service().equals(task.job().terms().service())
				&& entry.capacity().fits(task.step().demand()) && hasLabel(entry, task.step().requiredLabel());
	}

	private boolean isEligible(PooledEndpoint endpoint, PooledTask task, long nowMillis) {
		StepSpec step = task.step();
		return endpoint.acceptsTasks(nowMillis, this.responseTimeoutMillis) && couldRun(task, endpoint)
				&& !endpoint.interferesWith(step)
				&& (step.maxPerEndpoint() == 0 || endpoint.runCountOfStep(task) < step.maxPerEndpoint());
	}

	private static boolean hasLabel(EndpointEntry entry, String label) {
		return label.isEmpty() || entry.labels().contains(label);
	}

	private static double cost(PooledEndpoint endpoint, StepSpec step) {
		double remainingMillicores = endpoint.free().cpuMillicores() - step.reserved().cpuMillicores();
		double slownessMillicores = SLOWNESS_MILLICORES * endpoint.health().slowness();
		boolean farFromData = !hasLabel(endpoint.entry(), step.dataRack());
		return remainingMillicores + slownessMillicores + (farFromData ? FAR_FROM_DATA_MILLICORES : 0);
	}

}
