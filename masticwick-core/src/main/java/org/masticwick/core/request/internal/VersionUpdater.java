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
 * Brings the state into line with a new version, keeping what was learnt.
 */
final class VersionUpdater {

	private final SchedulerState state;

	/**
	 * Creates an updater.
	 * @param state the state
	 */
	VersionUpdater(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Takes over a version.
	 * @param version the version
	 * @param nowNanos the time
	 */
	void update(SiteVersion version, long nowNanos) {
		DispatchRules oldRules = this.state.rules();
		this.state.version(version);
		withdrawServices(version);
		version.services().values().forEach((service) -> putService(service, nowNanos));
		withdrawEndpoints(version);
		version.endpoints().values().forEach((endpoint) -> putEndpoint(endpoint, nowNanos));
		this.state.toldStates()
			.entrySet()
			.removeIf(
					(told) -> told.getValue() == EndpointState.GONE && !version.endpoints().containsKey(told.getKey()));
		this.state.services().values().forEach(this::linkEndpoints);
		this.state.divide();
		if (!oldRules.equals(this.state.rules())) {
			applyRules(oldRules, nowNanos);
		}
	}

	private void withdrawServices(SiteVersion version) {
		List<ServiceState> withdrawn = this.state.services()
			.values()
			.stream()
			.filter((service) -> !version.services().containsKey(service.spec().name()))
			.toList();
		withdrawn.forEach((service) -> {
			service.queue().jobs().forEach((job) -> this.state.drop(job, ErrorCode.UNKNOWN_SERVICE, 0));
			this.state.services().remove(service.spec().name());
		});
	}

	private void putService(ServiceSpec spec, long nowNanos) {
		ServiceState known = this.state.services().get(spec.name());
		if (known != null) {
			known.spec(spec);
			return;
		}
		SchedulerSettings settings = this.state.settings();
		DispatchRules rules = this.state.rules();
		this.state.services()
			.put(spec.name(),
					new ServiceState(spec, new RunTimes(settings.priorRunTimeMillis() * Times.NANOS_PER_MILLI),
							new RetryBudget(settings.retryBudgetRatio(), settings.retryBurstCount(), nowNanos),
							new ServiceQueue(JobOrder.of(rules.jobOrder()), TeamOrder.of(rules.teamOrder())),
							placement(rules)));
	}

	private void withdrawEndpoints(SiteVersion version) {
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

	private void putEndpoint(EndpointSpec spec, long nowNanos) {
		EndpointView known = this.state.endpoints().get(spec.address());
		if (known != null) {
			known.spec(spec);
			return;
		}
		EndpointView added = new EndpointView(spec, this.state.random());
		added.state(this.state.toldStates().getOrDefault(spec.address(), EndpointState.LIVE), nowNanos);
		this.state.endpoints().put(spec.address(), added);
	}

	private void linkEndpoints(ServiceState service) {
		List<EndpointView> all = this.state.endpoints()
			.values()
			.stream()
			.filter((endpoint) -> endpoint.spec().service().equals(service.spec().name()))
			.sorted((left, right) -> left.address().compareTo(right.address()))
			.toList();
		service.endpoints(all.stream().filter(this::local).toList(),
				all.stream().filter((endpoint) -> !local(endpoint)).toList());
	}

	private boolean local(EndpointView endpoint) {
		return endpoint.spec().domain().equals(this.state.ownDomain());
	}

	private void applyRules(DispatchRules oldRules, long nowNanos) {
		DispatchRules rules = this.state.rules();
		this.state.teams().rules(rules);
		boolean placementChanged = !Objects.equals(oldRules.placement(), rules.placement());
		this.state.services().values().forEach((service) -> {
			if (placementChanged) {
				service.placement(placement(rules));
			}
			service.queue()
				.reorder(JobOrder.of(rules.jobOrder()), TeamOrder.of(rules.teamOrder()),
						this.state.slotCount(service, nowNanos));
		});
	}

	private PlacementPolicy placement(DispatchRules rules) {
		return PlacementPolicies.create(rules.placement(), rules.weighting().defaultPlacement());
	}

}
