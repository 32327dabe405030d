package org.masticwick.core.request.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.masticwick.core.connection.LoadReport;
import org.masticwick.core.connection.ServiceLoad;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.SchedulerSnapshot;

/**
 * Tells peers and operators the load, and takes in the load of peers.
 */
final class Reports {

	private static final double MAX_CHARGE_NANOS = Times.NANOS_PER_SECOND;

	private final SchedulerState state;

	/**
	 * Creates an object for a state.
	 * @param state the state
	 */
	Reports(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Takes in the load of a peer.
	 * @param peer the peer
	 * @param load its load
	 * @param nowNanos the time
	 */
	void peerLoad(EntryHost peer, LoadReport load, long nowNanos) {
		Peers.Report before = this.state.peers().put(peer, load, nowNanos);
		this.state.services().values().forEach((service) -> {
			double fadeNanos = service.runTimes().meanNanos();
			service.local().forEach((endpoint) -> report(endpoint, peer, load, nowNanos, fadeNanos));
			service.remote().forEach((endpoint) -> report(endpoint, peer, load, nowNanos, fadeNanos));
		});
		double elapsedNanos = (before != null) ? Math.min(MAX_CHARGE_NANOS, nowNanos - before.atNanos()) : 0;
		Map<String, Double> added = load.teamRunning()
			.entrySet()
			.stream()
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> entry.getValue() * elapsedNanos));
		this.state.teams().peers(this.state.peers().teamRunning(), added);
		if (before == null) {
			this.state.divide();
		}
	}

	/**
	 * Forgets a peer.
	 * @param peer the peer
	 */
	void peerGone(EntryHost peer) {
		if (this.state.peers().remove(peer) == null) {
			return;
		}
		this.state.services().values().forEach((service) -> {
			double fadeNanos = service.runTimes().meanNanos();
			service.local().forEach((endpoint) -> endpoint.forget(peer, fadeNanos));
			service.remote().forEach((endpoint) -> endpoint.forget(peer, fadeNanos));
		});
		this.state.teams().peers(this.state.peers().teamRunning(), Map.of());
		this.state.divide();
	}

	/**
	 * Returns the load of this host.
	 * @param nowNanos the time
	 * @return the load
	 */
	LoadReport load(long nowNanos) {
		Map<String, ServiceLoad> services = new HashMap<>();
		this.state.services().forEach((name, service) -> {
			int queuedCount = service.queue().queuedCount();
			long waitMillis = Times.toMillis(this.state.waitNanos(service, queuedCount, nowNanos));
			services.put(name,
					new ServiceLoad(queuedCount, service.runningCount(), service.localSlotCount(), waitMillis));
		});
		Map<HostAddress, Integer> outstanding = this.state.endpoints()
			.values()
			.stream()
			.filter((endpoint) -> endpoint.outstandingCount() > 0)
			.collect(Collectors.toMap(EndpointView::address, EndpointView::outstandingCount));
		Map<String, Integer> teamRunning = this.state.teams()
			.accounts()
			.stream()
			.filter((account) -> account.runningCount() > 0)
			.collect(Collectors.toMap(TeamAccount::name, TeamAccount::runningCount));
		return new LoadReport(services, outstanding, teamRunning);
	}

	/**
	 * Returns a copy of the state for people.
	 * @param nowNanos the time
	 * @return the copy
	 */
	SchedulerSnapshot snapshot(long nowNanos) {
		List<SchedulerSnapshot.Service> services = this.state.services()
			.values()
			.stream()
			.map((service) -> service(service, nowNanos))
			.toList();
		List<SchedulerSnapshot.Endpoint> endpoints = this.state.endpoints()
			.values()
			.stream()
			.sorted((left, right) -> left.address().compareTo(right.address()))
			.map((endpoint) -> endpoint(endpoint, nowNanos))
			.toList();
		List<SchedulerSnapshot.Team> teams = this.state.teams()
			.accounts()
			.stream()
			.map((account) -> new SchedulerSnapshot.Team(account.name(), account.share(), account.queuedCount(),
					account.runningCount(), account.peerRunningCount()))
			.sorted((left, right) -> left.name().compareTo(right.name()))
			.toList();
		Map<String, Long> counters = this.state.counters()
			.entrySet()
			.stream()
			.collect(Collectors.toMap((entry) -> entry.getKey().text(), Map.Entry::getValue));
		return new SchedulerSnapshot(this.state.version().number(), this.state.rules().placement(), services, endpoints,
				teams, counters);
	}

	private void report(EndpointView endpoint, EntryHost peer, LoadReport load, long nowNanos, double fadeNanos) {
		int count = load.outstanding().getOrDefault(endpoint.address(), 0);
		endpoint.foreign().report(peer, count, nowNanos, fadeNanos);
	}

	private SchedulerSnapshot.Service service(ServiceState service, long nowNanos) {
		ServiceQueue queue = service.queue();
		long waitMillis = Times.toMillis(this.state.waitNanos(service, queue.queuedCount(), nowNanos));
		return new SchedulerSnapshot.Service(service.spec().name(), queue.jobCount(), queue.queuedCount(),
				queue.urgentQueuedCount(), service.runningCount(), waitMillis, service.retryBudget().tokenCount());
	}

	private SchedulerSnapshot.Endpoint endpoint(EndpointView endpoint, long nowNanos) {
		EndpointHealth health = endpoint.health();
		ServiceState service = this.state.services().get(endpoint.spec().service());
		double fadeNanos = (service != null) ? service.runTimes().meanNanos() : 1;
		long ejectedMillis = health.ejected() ? Times.toMillis(health.untilNanos() - nowNanos) : 0;
		return new SchedulerSnapshot.Endpoint(endpoint.address(), endpoint.spec().domain(), endpoint.spec().service(),
				endpoint.state(), endpoint.spec().slotCount(), endpoint.outstandingCount(),
				endpoint.foreign().estimate(nowNanos, fadeNanos), health.ejected(), ejectedMillis,
				Times.toMillis(endpoint.runTimes().meanNanos()), Math.exp(health.logSlowness()));
	}

}
