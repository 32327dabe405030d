package org.masticwick.core.pool;

import java.util.Collection;
import java.util.Optional;

/**
 * Selects the endpoint for a task by best fit: prefers little remaining capacity, high
 * speed, an end in time and closeness to the data.
 */
final class EndpointSelector {

	/**
	 * The cost of a slowness factor of 1. Costs are shares of the endpoint's processor
	 * capacity that remain unused, so that a faster endpoint may leave more unused.
	 */
	private static final double SLOWNESS_COST = 0.3;

	/**
	 * The cost of an end that is late by the expected run time, as a share of the
	 * endpoint's processor capacity; as much as leaving a whole endpoint unused.
	 */
	private static final double OVERRUN_COST = 1;

	/**
	 * The cost of running outside the rack of the data; above all costs of capacity and
	 * of speed.
	 */
	private static final double FAR_FROM_DATA_COST = 20;

	/** The cost of other runs for a task under which endpoints were lost. */
	private static final double COMPANY_COST = 40;

	/**
	 * The cost of sharing the endpoint with such a task; above all other costs, as all
	 * runs on an endpoint are lost with it.
	 */
	private static final double SUSPECT_COST = 60;

	/**
	 * The bound on the cost of a late end, so that it stays below the costs that are not
	 * about time.
	 */
	private static final double MAX_OVERRUN_COST = 10;

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
		double timeLeftRatio = timeLeftRatio(task.job(), nowMillis);
		for (PooledEndpoint endpoint : endpoints) {
			if (endpoint.free().fits(task.step().reserved()) && isEligible(endpoint, task, nowMillis)
					&& (isolation != Isolation.REQUIRED || endpoint.isIdle())) {
				double cost = cost(endpoint, task.step(), timeLeftRatio) + companyCost(endpoint, isolation);
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
			return SUSPECT_COST;
		}
		return (isolation != Isolation.NONE && !endpoint.isIdle()) ? COMPANY_COST : 0;
	}

	// Returns the time until the job is late, in multiples of its expected run time, or
	// infinity for jobs of several steps, for which it is not known.
	private static double timeLeftRatio(PooledJob job, long nowMillis) {
		if (job.spec().steps().size() > 1) {
			return Double.POSITIVE_INFINITY;
		}
		double objectiveMillis = Math.min(job.objectiveMillis(), job.terms().budgetMillis());
		return (job.arrivedMillis() + objectiveMillis - nowMillis) / job.expectedMillis();
	}

	private static double cost(PooledEndpoint endpoint, StepSpec step, double timeLeftRatio) {
		EndpointEntry entry = endpoint.entry();
		double remainingMillicores = endpoint.free().cpuMillicores() - step.reserved().cpuMillicores();
		double slowness = endpoint.health().slowness();
		double overrunRatio = PooledJob.RUN_TIME_MARGIN * slowness - timeLeftRatio;
		double overrunCost = Math.min(Math.max(0, OVERRUN_COST * overrunRatio), MAX_OVERRUN_COST);
		boolean farFromData = !hasLabel(entry, step.dataRack());
		return remainingMillicores / Math.max(1, entry.capacity().cpuMillicores()) + SLOWNESS_COST * slowness
				+ overrunCost + (farFromData ? FAR_FROM_DATA_COST : 0);
	}

}
