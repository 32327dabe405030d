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
 * Reports the load of this host to peers and operators, and records the load reports of
 * peers.
 */
final class LoadReporter {

	private static final double MAX_CHARGED_INTERVAL_NANOS = TimeMath.NANOS_PER_SECOND;

	private final SchedulerState state;

	/**
	 * Creates a load reporter.
	 * @param state the shared state of the scheduler
	 */
	LoadReporter(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Records the load report of a peer.
	 * @param peer the peer
	 * @param load the load that the peer reported
	 * @param nowNanos the current time
	 */
	void recordPeerLoad(EntryHost peer, LoadReport load, long nowNanos) {
		PeerReports.Report previous = this.state.peerReports().update(peer, load, nowNanos);
		this.state.services().values().forEach((service) -> {
			double decayNanos = service.runTimes().meanNanos();
			service.localEndpoints()
				.forEach((endpoint) -> recordEndpointLoad(endpoint, peer, load, nowNanos, decayNanos));
			service.remoteEndpoints()
				.forEach((endpoint) -> recordEndpointLoad(endpoint, peer, load, nowNanos, decayNanos));
		});
		double elapsedNanos = (previous != null)
				? Math.min(MAX_CHARGED_INTERVAL_NANOS, nowNanos - previous.receivedNanos()) : 0;
		Map<String, Double> addedNanosByTeam = load.teamRunning()
			.entrySet()
			.stream()
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> entry.getValue() * elapsedNanos));
		this.state.teams().recordPeerUsage(this.state.peerReports().runningCountsByTeam(), addedNanosByTeam);
		if (previous == null) {
			this.state.assignOwners();
		}
	}

	/**
	 * Removes the state of a peer that left or was lost.
	 * @param peer the peer
	 */
	void removePeer(EntryHost peer) {
		if (this.state.peerReports().remove(peer) == null) {
			return;
		}
		this.state.services().values().forEach((service) -> {
			double decayNanos = service.runTimes().meanNanos();
			service.localEndpoints().forEach((endpoint) -> endpoint.removePeer(peer, decayNanos));
			service.remoteEndpoints().forEach((endpoint) -> endpoint.removePeer(peer, decayNanos));
		});
		this.state.teams().recordPeerUsage(this.state.peerReports().runningCountsByTeam(), Map.of());
		this.state.assignOwners();
	}

	/**
	 * Returns the load report of this host for its peers.
	 * @param nowNanos the current time
	 * @return the load report
	 */
	LoadReport loadReport(long nowNanos) {
		Map<String, ServiceLoad> services = new HashMap<>();
		this.state.services().forEach((name, service) -> {
			int queuedCount = service.queue().queuedCount();
			long waitMillis = TimeMath.toMillis(this.state.expectedWaitNanos(service, queuedCount, nowNanos));
			services.put(name,
					new ServiceLoad(queuedCount, service.runningCount(), service.localSlotCount(), waitMillis));
		});
		Map<HostAddress, Integer> outstanding = this.state.endpoints()
			.values()
			.stream()
			.filter((endpoint) -> endpoint.outstandingCount() > 0)
			.collect(Collectors.toMap(EndpointView::address, EndpointView::outstandingCount));
		Map<String, Integer> runningCountsByTeam = this.state.teams()
			.accounts()
			.stream()
			.filter((account) -> account.runningCount() > 0)
			.collect(Collectors.toMap(TeamAccount::name, TeamAccount::runningCount));
		return new LoadReport(services, outstanding, runningCountsByTeam);
	}

	/**
	 * Returns a snapshot of the scheduler's state for the dump and the metrics.
	 * @param nowNanos the current time
	 * @return the snapshot
	 */
	SchedulerSnapshot snapshot(long nowNanos) {
		List<SchedulerSnapshot.Service> services = this.state.services()
			.values()
			.stream()
			.map((service) -> serviceSnapshot(service, nowNanos))
			.toList();
		List<SchedulerSnapshot.Endpoint> endpoints = this.state.endpoints()
			.values()
			.stream()
			.sorted((left, right) -> left.address().compareTo(right.address()))
			.map((endpoint) -> endpointSnapshot(endpoint, nowNanos))
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
		return new SchedulerSnapshot(this.state.version().number(), this.state.rules().placement(),
				List.copyOf(this.state.rules().drainedDomains()), services, endpoints, teams, counters);
	}

	private void recordEndpointLoad(EndpointView endpoint, EntryHost peer, LoadReport load, long nowNanos,
			double decayNanos) {
		int count = load.outstanding().getOrDefault(endpoint.address(), 0);
		endpoint.peerLoad().recordReport(peer, count, nowNanos, decayNanos);
	}

	private SchedulerSnapshot.Service serviceSnapshot(ServiceState service, long nowNanos) {
		ServiceQueue queue = service.queue();
		long waitMillis = TimeMath.toMillis(this.state.expectedWaitNanos(service, queue.queuedCount(), nowNanos));
		return new SchedulerSnapshot.Service(service.spec().name(), queue.jobCount(), queue.queuedCount(),
				queue.urgentQueuedCount(), service.runningCount(), waitMillis, service.retryBudget().tokenCount());
	}

	private SchedulerSnapshot.Endpoint endpointSnapshot(EndpointView endpoint, long nowNanos) {
		EndpointHealth health = endpoint.health();
		ServiceState service = this.state.services().get(endpoint.spec().service());
		double decayNanos = (service != null) ? service.runTimes().meanNanos() : 1;
		long ejectedMillis = health.ejected() ? TimeMath.toMillis(health.nextProbeNanos() - nowNanos) : 0;
		return new SchedulerSnapshot.Endpoint(endpoint.address(), endpoint.spec().domain(), endpoint.spec().service(),
				endpoint.state(), endpoint.drained(), endpoint.spec().slotCount(), endpoint.outstandingCount(),
				endpoint.peerLoad().estimateTotal(nowNanos, decayNanos), health.ejected(), ejectedMillis,
				TimeMath.toMillis(endpoint.runTimes().meanNanos()), Math.exp(health.logSlowness()));
	}

}
