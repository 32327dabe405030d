package org.masticwick.core.pool;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Holds the endpoints of the pools of one owner.
 */
final class EndpointTable {

	private final Map<String, PooledEndpoint> endpoints = new LinkedHashMap<>();

	private final EndpointSelector selector;

	private final long responseTimeoutMillis;

	private final CommandCounter commandCounter = new CommandCounter();

	private Set<String> drainedDomains = Set.of();

	EndpointTable(long responseTimeoutMillis) {
		this.responseTimeoutMillis = responseTimeoutMillis;
		this.selector = new EndpointSelector(responseTimeoutMillis);
	}

	PooledEndpoint listed(EndpointEntry entry) {
		PooledEndpoint endpoint = this.endpoints.computeIfAbsent(entry.id(),
				(id) -> new PooledEndpoint(entry, this.commandCounter));
		endpoint.entry(entry);
		updateDrained(endpoint);
		return endpoint;
	}

	/**
	 * Replaces the set of failure domains whose endpoints get no new tasks.
	 * @param domains the names of the domains
	 */
	void drainedDomains(Set<String> domains) {
		this.drainedDomains = Set.copyOf(domains);
		all().forEach(this::updateDrained);
	}

	private void updateDrained(PooledEndpoint endpoint) {
		endpoint.setDrained(this.drainedDomains.contains(endpoint.entry().domain()));
	}

	/**
	 * Records that an endpoint was removed from the endpoint list. It gets no new tasks.
	 * @param endpointId the id of the endpoint
	 */
	void unlisted(String endpointId) {
		find(endpointId).ifPresent((endpoint) -> {
			endpoint.unlist();
			removeIfUnused(endpoint);
		});
	}

	/**
	 * Removes an endpoint that is not listed and has no run.
	 * @param endpoint the endpoint
	 */
	void removeIfUnused(PooledEndpoint endpoint) {
		if (!endpoint.isListed() && endpoint.placementCount() == 0) {
			this.endpoints.remove(endpoint.entry().id());
		}
	}

	/**
	 * Returns whether an endpoint lists runs that this owner has neither started nor
	 * adopted.
	 * @return whether there are any
	 */
	boolean hasOrphanedRuns() {
		for (PooledEndpoint endpoint : all()) {
			if (!endpoint.orphanedJobIds().isEmpty()) {
				return true;
			}
		}
		return false;
	}

	void removeUnused() {
		List.copyOf(all()).forEach(this::removeIfUnused);
	}

	/**
	 * Returns the endpoints that had the address of another one before.
	 * @param incarnation the present incarnation at the address
	 * @return the endpoints with another id that started earlier
	 */
	List<PooledEndpoint> succeededAtAddress(EndpointIncarnation incarnation) {
		return all().stream()
			.filter((endpoint) -> !endpoint.entry().id().equals(incarnation.endpointId()))
			.filter((endpoint) -> endpoint.incarnation(endpoint.startedEpochMillis()).isSucceededBy(incarnation))
			.toList();
	}

	long highestCommandCount() {
		return this.commandCounter.current();
	}

	Optional<PooledEndpoint> remove(String endpointId) {
		return Optional.ofNullable(this.endpoints.remove(endpointId));
	}

	Optional<PooledEndpoint> find(String endpointId) {
		return Optional.ofNullable(this.endpoints.get(endpointId));
	}

	Optional<Placement> find(String endpointId, TaskRun run) {
		return find(endpointId).flatMap((endpoint) -> endpoint.placement(run));
	}

	/**
	 * Returns the terminations that an incarnation of an endpoint lists.
	 * @param termination one of them
	 * @return the terminations, or empty if the endpoint is unknown or was restarted
	 */
	Optional<TerminationTracker> terminationsOf(TerminationId termination) {
		return find(termination.endpointId())
			.filter((endpoint) -> endpoint.startedEpochMillis() == termination.startedEpochMillis())
			.map(PooledEndpoint::terminations);
	}

	Collection<PooledEndpoint> all() {
		return this.endpoints.values();
	}

	List<EndpointEntry> transfer() {
		return all().stream().map(PooledEndpoint::transfer).toList();
	}

	/**
	 * Selects the endpoint on which to start a task.
	 * @param task the task
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the endpoint, or empty if none has capacity
	 */
	Optional<PooledEndpoint> select(PooledTask task, long nowMillis) {
		return this.selector.select(task, all(), nowMillis);
	}

	/**
	 * Returns a bound on the free capacity of each endpoint.
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the most of each resource that any endpoint has free that accepts tasks
	 */
	Resources largestFree(long nowMillis) {
		Resources largest = Resources.NONE;
		for (PooledEndpoint endpoint : all()) {
			if (endpoint.acceptsTasks(nowMillis, this.responseTimeoutMillis)) {
				largest = largest.max(endpoint.free());
			}
		}
		return largest;
	}

	boolean hasCapacityElsewhere(Placement placement, long nowMillis) {
		return all().stream()
			.filter((endpoint) -> endpoint != placement.endpoint())
			.anyMatch((endpoint) -> this.selector.select(placement.task(), List.of(endpoint), nowMillis).isPresent());
	}

	/**
	 * Returns whether each task of a job could run on some endpoint if that were idle.
	 * Only the first task of each step is checked, because the tasks of a step have equal
	 * demands.
	 * @param job the job
	 * @return whether an endpoint exists for each task
	 */
	boolean couldRun(PooledJob job) {
		return couldRun(job, (endpoint) -> true);
	}

	/**
	 * Returns whether a job waits for a failure domain to be returned to service: some
	 * endpoint could run each of its tasks, but for one of them all such endpoints are
	 * drained.
	 * @param job the job
	 * @return whether only drained endpoints could run it
	 */
	boolean needsDrainedEndpoint(PooledJob job) {
		return !this.drainedDomains.isEmpty() && couldRun(job) && !couldRun(job, (endpoint) -> !endpoint.isDrained());
	}

	/**
	 * Returns whether an endpoint could run a task if it were idle.
	 * @param task the task
	 * @param endpoint the endpoint
	 * @return whether it has the service, the total capacity and the label that the task
	 * needs
	 */
	boolean couldRun(PooledTask task, PooledEndpoint endpoint) {
		return this.selector.couldRun(task, endpoint);
	}

	private boolean couldRun(PooledJob job, Predicate<PooledEndpoint> filter) {
		return job.firstTasks()
			.stream()
			.allMatch((task) -> all().stream()
				.anyMatch((endpoint) -> filter.test(endpoint) && this.selector.couldRun(task, endpoint)));
	}

	long totalMillicores() {
		return all().stream()
			.filter(PooledEndpoint::countsAsCapacity)
			.mapToLong((endpoint) -> endpoint.entry().capacity().cpuMillicores())
			.sum();
	}

	long freeMillicores(long nowMillis) {
		return all().stream()
			.filter((endpoint) -> endpoint.acceptsTasks(nowMillis, this.responseTimeoutMillis))
			.mapToLong((endpoint) -> Math.max(0, endpoint.free().cpuMillicores()))
			.sum();
	}

}
