package org.masticwick.core.pool;

import java.util.Collection;
import java.util.Optional;

/**
 * Selects the endpoint for a task by best fit: prefers little remaining capacity, high
 * speed and closeness to the data.
 */
final class EndpointSelector {

	/**
	 * The cost of a slowness factor of 1, in thousandths of a core of remaining capacity.
	 */
	private static final double SLOWNESS_MILLICORES = 20_000;

	/**
	 * The cost of running outside the rack of the data, in thousandths of a core of
	 * remaining capacity.
	 */
	private static final double FAR_FROM_DATA_MILLICORES = 1_000_000;

	/**
	 * The cost of sharing the endpoint with a task under which endpoints were lost, in
	 * thousandths of a core of remaining capacity; above all other costs, as all runs on
	 * an endpoint are lost with it.
	 */
	private static final double SUSPECT_MILLICORES = 3_000_000;

	/**
	 * The cost of other runs for such a task, in thousandths of a core of remaining
	 * capacity.
	 */
	private static final double COMPANY_MILLICORES = 2_000_000;

	private final long responseTimeoutMillis;

	EndpointSelector(long responseTimeoutMillis) {
		this.responseTimeoutMillis = responseTimeoutMillis;
	}

	/**
	 * Selects an endpoint for a task.
	 * @param task the task
	 * @param endpoints the endpoints of the pool
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the endpoint, or empty if the task has to wait
	 */
	Optional<PooledEndpoint> select(PooledTask task, Collection<PooledEndpoint> endpoints, long nowMillis) {
		Isolation isolation = task.isolation(nowMillis);
		PooledEndpoint best = null;
		double bestCost = Double.MAX_VALUE;
		for (PooledEndpoint endpoint : endpoints) {
			if (endpoint.free().fits(task.step().reserved()) && isEligible(endpoint, task, nowMillis)
					&& (isolation != Isolation.REQUIRED || endpoint.isIdle())) {
				double cost = cost(endpoint, task.step()) + companyCost(endpoint, isolation);
				if (cost < bestCost) {
					best = endpoint;
					bestCost = cost;
				}
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Returns whether an endpoint could run a task if it were idle.
	 * @param task the task
	 * @param endpoint the endpoint
	 * @return whether it has the service, the total capacity and the label that the task
	 * needs
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

	private static double companyCost(PooledEndpoint endpoint, Isolation isolation) {
		if (endpoint.hasSuspect()) {
			return SUSPECT_MILLICORES;
		}
		return (isolation != Isolation.NONE && !endpoint.isIdle()) ? COMPANY_MILLICORES : 0;
	}

	private static double cost(PooledEndpoint endpoint, StepSpec step) {
		double remainingMillicores = endpoint.free().cpuMillicores() - step.reserved().cpuMillicores();
		double slownessMillicores = SLOWNESS_MILLICORES * endpoint.health().slowness();
		boolean farFromData = !hasLabel(endpoint.entry(), step.dataRack());
		return remainingMillicores + slownessMillicores + (farFromData ? FAR_FROM_DATA_MILLICORES : 0);
	}

}
