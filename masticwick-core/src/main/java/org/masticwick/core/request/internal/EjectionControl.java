package org.masticwick.core.request.internal;

import java.util.List;

import org.masticwick.core.request.StartOutcome;

/**
 * Ejects endpoints that do far worse than their peers, never more than half of them and
 * never the last, and lets them back by probes.
 */
final class EjectionControl {

	private static final double MAX_EJECTED_PART = 0.5;

	private static final double PROBE_SLOWNESS = 3;

	private static final List<EjectionRule> RULES = List.of(EjectionRule.UNCONNECTED, EjectionRule.FAILING,
			EjectionRule.SLOW);

	private final SchedulerState state;

	/**
	 * Creates an ejection control.
	 * @param state the state
	 */
	EjectionControl(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Takes in what came of a start.
	 * @param service the service
	 * @param task the task
	 * @param end what came of it
	 * @param nowNanos the time
	 */
	void ended(ServiceState service, RunningTask task, StartOutcome end, long nowNanos) {
		EndpointView endpoint = task.endpoint();
		EndpointHealth health = endpoint.health();
		double slowness = service.runTimes().ratio(task.spec().kind(), end.runTimeNanos());
		health.add(end.kind(), slowness);
		if (task.probe()) {
			probeEnded(health, end.kind(), slowness, nowNanos);
			service.refresh();
			return;
		}
		if (end.kind() != StartOutcome.Kind.CANCELLED && unfit(service, endpoint)) {
			eject(service, endpoint, nowNanos);
		}
	}

	/**
	 * Ejects endpoints from which nothing comes back.
	 * @param service the service
	 * @param nowNanos the time
	 */
	void ejectStalled(ServiceState service, long nowNanos) {
		if (!service.runTimes().trusted()) {
			return;
		}
		double tailNanos = service.runTimes().tailNanos();
		service.local()
			.stream()
			.filter((endpoint) -> !endpoint.health().ejected() && endpoint.stalled(tailNanos, nowNanos))
			.forEach((endpoint) -> eject(service, endpoint, nowNanos));
	}

	private void probeEnded(EndpointHealth health, StartOutcome.Kind kind, double slowness, long nowNanos) {
		switch (kind) {
			case SUCCEEDED -> health.probeEnded(slowness < PROBE_SLOWNESS, nowNanos);
			case FAILED, LOST, NOT_CONNECTED -> health.probeEnded(false, nowNanos);
			default -> health.probeVoid();
		}
	}

	private boolean unfit(ServiceState service, EndpointView endpoint) {
		EndpointHealth health = endpoint.health();
		if (health.ejected()) {
			return false;
		}
		return RULES.stream().anyMatch((rule) -> rule.unfit(health, () -> peers(service, endpoint)));
	}

	private List<EndpointHealth> peers(ServiceState service, EndpointView endpoint) {
		return group(service, endpoint).stream()
			.filter((other) -> other != endpoint && !other.health().ejected())
			.map(EndpointView::health)
			.toList();
	}

	private void eject(ServiceState service, EndpointView endpoint, long nowNanos) {
		List<EndpointView> live = group(service, endpoint).stream().filter(EndpointView::live).toList();
		long ejectedCount = live.stream().filter((other) -> other.health().ejected()).count();
		if (ejectedCount + 1 > live.size() * MAX_EJECTED_PART) {
			return;
		}
		endpoint.health().eject(nowNanos);
		service.refresh();
		this.state.count(Counter.EJECTIONS, 1);
	}

	private List<EndpointView> group(ServiceState service, EndpointView endpoint) {
		return service.local().contains(endpoint) ? service.local() : service.remote();
	}

}
