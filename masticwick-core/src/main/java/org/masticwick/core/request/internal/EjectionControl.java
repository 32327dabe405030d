package org.masticwick.core.request.internal;

import java.util.List;

import org.masticwick.core.request.StartOutcome;

/**
 * Ejects endpoints whose results are far worse than those of the other endpoints of their
 * service, and reinstates them after successful probes. At most half of the live
 * endpoints are ejected at a time, and never the last one.
 */
final class EjectionControl {

	private static final double MAX_EJECTED_FRACTION = 0.5;

	private static final double MAX_PROBE_SLOWNESS = 3;

	private static final List<EjectionRule> RULES = List.of(EjectionRule.UNREACHABLE, EjectionRule.FAILING,
			EjectionRule.SLOW);

	private final SchedulerState state;

	/**
	 * Creates an ejection control.
	 * @param state the shared state of the scheduler
	 */
	EjectionControl(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Records the outcome of a start and ejects the endpoint if it meets an ejection
	 * rule.
	 * @param service the service
	 * @param task the task that was started
	 * @param outcome the outcome of the start
	 * @param nowNanos the current time
	 */
	void recordOutcome(ServiceState service, RunningTask task, StartOutcome outcome, long nowNanos) {
		EndpointView endpoint = task.endpoint();
		EndpointHealth health = endpoint.health();
		double slowness = service.runTimes().slowness(task.spec().kind(), outcome.runTimeNanos());
		health.recordOutcome(outcome.kind(), slowness);
		if (task.probe()) {
			recordProbe(health, outcome.kind(), slowness, nowNanos);
			service.invalidateSlotCount();
			return;
		}
		if (outcome.kind() != StartOutcome.Kind.CANCELLED && shouldEject(service, endpoint)) {
			ejectIfAllowed(service, endpoint, nowNanos);
		}
	}

	/**
	 * Ejects local endpoints that have not completed a task for several times the run
	 * time that tasks rarely exceed.
	 * @param service the service
	 * @param nowNanos the current time
	 */
	void ejectStalledEndpoints(ServiceState service, long nowNanos) {
		if (!service.runTimes().reliable()) {
			return;
		}
		double tailNanos = service.runTimes().tailNanos();
		service.localEndpoints()
			.stream()
			.filter((endpoint) -> !endpoint.health().ejected() && endpoint.stalled(tailNanos, nowNanos))
			.forEach((endpoint) -> ejectIfAllowed(service, endpoint, nowNanos));
	}

	private void recordProbe(EndpointHealth health, StartOutcome.Kind kind, double slowness, long nowNanos) {
		switch (kind) {
			case SUCCEEDED -> health.recordProbeResult(slowness < MAX_PROBE_SLOWNESS, nowNanos);
			case FAILED, LOST, NOT_CONNECTED -> health.recordProbeResult(false, nowNanos);
			default -> health.discardProbe();
		}
	}

	private boolean shouldEject(ServiceState service, EndpointView endpoint) {
		EndpointHealth health = endpoint.health();
		if (health.ejected()) {
			return false;
		}
		return RULES.stream().anyMatch((rule) -> rule.shouldEject(health, () -> peerHealth(service, endpoint)));
	}

	private List<EndpointHealth> peerHealth(ServiceState service, EndpointView endpoint) {
		return endpointGroup(service, endpoint).stream()
			.filter((other) -> other != endpoint && !other.health().ejected())
			.map(EndpointView::health)
			.toList();
	}

	private void ejectIfAllowed(ServiceState service, EndpointView endpoint, long nowNanos) {
		List<EndpointView> live = endpointGroup(service, endpoint).stream().filter(EndpointView::live).toList();
		long ejectedCount = live.stream().filter((other) -> other.health().ejected()).count();
		if (ejectedCount + 1 > live.size() * MAX_EJECTED_FRACTION) {
			return;
		}
		endpoint.health().eject(nowNanos);
		service.invalidateSlotCount();
		this.state.increment(Counter.EJECTIONS, 1);
	}

	private List<EndpointView> endpointGroup(ServiceState service, EndpointView endpoint) {
		return service.localEndpoints().contains(endpoint) ? service.localEndpoints() : service.remoteEndpoints();
	}

}
