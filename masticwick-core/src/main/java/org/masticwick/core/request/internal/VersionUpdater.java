package org.masticwick.core.request.internal;

import java.util.List;
import java.util.Objects;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.request.DispatchRules;
import org.masticwick.core.request.EndpointState;
import org.masticwick.core.request.SchedulerSettings;
import org.masticwick.core.version.EndpointSpec;
import org.masticwick.core.version.ServiceSpec;
import org.masticwick.core.version.SiteVersion;

/**
 * Applies a new version of the site to the scheduler's state. Queues, outstanding tasks
 * and estimates of services and endpoints that remain are kept.
 */
final class VersionUpdater {

	private final SchedulerState state;

	/**
	 * Creates an updater.
	 * @param state the shared state of the scheduler
	 */
	VersionUpdater(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Applies a version.
	 * @param version the new version
	 * @param nowNanos the current time
	 */
	void update(SiteVersion version, long nowNanos) {
		DispatchRules oldRules = this.state.rules();
		this.state.applyVersion(version);
		removeWithdrawnServices(version);
		version.services().values().forEach((service) -> addOrUpdateService(service, nowNanos));
		removeWithdrawnEndpoints(version);
		version.endpoints().values().forEach((endpoint) -> addOrUpdateEndpoint(endpoint, nowNanos));
		this.state.reportedStates()
			.entrySet()
			.removeIf((reported) -> reported.getValue() == EndpointState.GONE
					&& !version.endpoints().containsKey(reported.getKey()));
		this.state.endpoints().values().forEach(this::updateDrained);
		this.state.services().values().forEach(this::linkEndpoints);
		this.state.assignOwners();
		if (!oldRules.equals(this.state.rules())) {
			applyRuleChanges(oldRules, nowNanos);
		}
		this.state.services().values().forEach(this::dropUnstartedJobsOfDrainedDomains);
	}

	private void updateDrained(EndpointView endpoint) {
		endpoint.drained(this.state.rules().drainedDomains().contains(endpoint.spec().domain()));
	}

	/**
	 * Drops the jobs none of whose tasks has been started and that have a task that only
	 * endpoints of drained domains could run. Jobs that have started stay queued, because
	 * dropping them would stop their runs.
	 * @param service the service
	 */
	private void dropUnstartedJobsOfDrainedDomains(ServiceState service) {
		service.queue()
			.jobs()
			.stream()
			.filter((job) -> job.allQueuedExcept(0) && this.state.requiresDrainedEndpoint(service, job))
			.toList()
			.forEach((job) -> this.state.dropJob(job, ErrorCode.NO_ENDPOINT,
					TimeMath.retryAfterMillis(TimeMath.NANOS_PER_SECOND, this.state.random())));
	}

	private void removeWithdrawnServices(SiteVersion version) {
		List<ServiceState> withdrawn = this.state.services()
			.values()
			.stream()
			.filter((service) -> !version.services().containsKey(service.spec().name()))
			.toList();
		withdrawn.forEach((service) -> {
			service.queue().jobs().forEach((job) -> this.state.dropJob(job, ErrorCode.UNKNOWN_SERVICE, 0));
			this.state.services().remove(service.spec().name());
		});
	}

	private void addOrUpdateService(ServiceSpec spec, long nowNanos) {
		ServiceState existing = this.state.services().get(spec.name());
		if (existing != null) {
			existing.spec(spec);
			return;
		}
		SchedulerSettings settings = this.state.settings();
		DispatchRules rules = this.state.rules();
		this.state.services()
			.put(spec.name(),
					new ServiceState(spec,
							new RunTimeEstimates(settings.priorRunTimeMillis() * TimeMath.NANOS_PER_MILLI),
							new RetryBudget(retriesPerStart(rules), settings.retryBurstCount(), nowNanos),
							new ServiceQueue(JobOrder.of(rules.jobOrder()), TeamOrder.of(rules.teamOrder())),
							createPlacement(rules)));
	}

	private void removeWithdrawnEndpoints(SiteVersion version) {
		this.state.endpoints()
			.values()
			.stream()
			.filter((endpoint) -> !version.endpoints().containsKey(endpoint.address()))
			.forEach(EndpointView::withdraw);
		this.state.endpoints()
			.values()
			.removeIf((endpoint) -> !version.endpoints().containsKey(endpoint.address())
					&& endpoint.outstandingCount() == 0);
	}

	private void addOrUpdateEndpoint(EndpointSpec spec, long nowNanos) {
		EndpointView existing = this.state.endpoints().get(spec.address());
		if (existing != null) {
			existing.declare(spec);
			return;
		}
		EndpointView added = new EndpointView(spec, this.state.random());
		added.updateState(this.state.reportedStates().getOrDefault(spec.address(), EndpointState.LIVE), nowNanos);
		this.state.endpoints().put(spec.address(), added);
	}

	private void linkEndpoints(ServiceState service) {
		List<EndpointView> serviceEndpoints = this.state.endpoints()
			.values()
			.stream()
			.filter((endpoint) -> endpoint.spec().service().equals(service.spec().name()))
			.sorted((left, right) -> left.address().compareTo(right.address()))
			.toList();
		service.endpoints(serviceEndpoints.stream().filter(this::inOwnDomain).toList(),
				serviceEndpoints.stream().filter((endpoint) -> !inOwnDomain(endpoint)).toList());
	}

	private boolean inOwnDomain(EndpointView endpoint) {
		return endpoint.spec().domain().equals(this.state.ownDomain());
	}

	private void applyRuleChanges(DispatchRules oldRules, long nowNanos) {
		DispatchRules rules = this.state.rules();
		this.state.teams().applyRules(rules);
		boolean placementChanged = !Objects.equals(oldRules.placement(), rules.placement());
		this.state.services().values().forEach((service) -> {
			if (placementChanged) {
				service.placement(createPlacement(rules));
			}
			service.retryBudget().retriesPerStart(retriesPerStart(rules));
			service.queue()
				.reorder(JobOrder.of(rules.jobOrder()), TeamOrder.of(rules.teamOrder()),
						this.state.usableSlotCount(service, nowNanos));
		});
	}

	private double retriesPerStart(DispatchRules rules) {
		return Math.min(this.state.settings().retryBudgetRatio(), rules.weighting().retriesPerStart());
	}

	private PlacementPolicy createPlacement(DispatchRules rules) {
		return PlacementPolicies.create(rules.placement(), rules.weighting().defaultPlacement());
	}

}
