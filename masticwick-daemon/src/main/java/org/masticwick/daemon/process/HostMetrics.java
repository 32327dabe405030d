package org.masticwick.daemon.process;

import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

import org.masticwick.core.connection.Liveness;
import org.masticwick.core.connection.PeerView;
import org.masticwick.core.request.SchedulerSnapshot;
import org.masticwick.daemon.process.metrics.Metrics;
import org.masticwick.daemon.version.FollowerStatus;

/**
 * Adds metrics whose values are read from the components of an entry host at each scrape.
 */
final class HostMetrics {

	private static final double NANOS_PER_SECOND = 1e9;

	private final ObservedComponents components;

	private HostMetrics(ObservedComponents components) {
		this.components = components;
	}

	/**
	 * Adds the metrics of a host.
	 * @param metrics the registry to which they are added
	 * @param components the components of the host
	 */
	static void add(Metrics metrics, ObservedComponents components) {
		HostMetrics hostMetrics = new HostMetrics(components);
		hostMetrics.addVersionMetrics(metrics);
		hostMetrics.addJobMetrics(metrics);
		hostMetrics.addSchedulerMetrics(metrics);
		metrics.addPeerTraffic(components.traffic()::snapshot);
		metrics.addGauge("masticwick_heap_used_bytes", "Used heap memory.",
				() -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
	}

	private void addVersionMetrics(Metrics metrics) {
		metrics.addGauge("masticwick_version", "Number of the active version; 0 if there is none.",
				this::activeVersionNumber);
		metrics.addGauge("masticwick_log_offset", "Offset of the next record to read from the log.",
				this.components.registry()::nextOffset);
		metrics.addGauge("masticwick_log_age_seconds",
				"Time since the last successful read of the log; -1 if there was none.", this::logAgeSeconds);
		metrics.addGauge("masticwick_peers_behind", "Peers whose active version is older than that of this host.",
				() -> peers().stream().filter((peer) -> peer.status().versionNumber() < activeVersionNumber()).count());
		metrics.addGauge("masticwick_peers", "Peers in the membership, by liveness.", "liveness",
				this::peersByLiveness);
		metrics.addCounter("masticwick_log_failures_total", "Failed reads of the log.",
				() -> this.components.logFollower().status().failureCount());
	}

	private double activeVersionNumber() {
		return this.components.registry().hasState() ? this.components.registry().activeVersion().number() : 0;
	}

	private List<PeerView> peers() {
		return this.components.membership().peers(this.components.time().nanoTime());
	}

	private Map<String, Double> peersByLiveness() {
		List<PeerView> peers = peers();
		return Arrays.stream(Liveness.values())
			.collect(Collectors.toMap((liveness) -> liveness.name().toLowerCase(Locale.ROOT),
					(liveness) -> (double) peers.stream().filter((peer) -> peer.liveness() == liveness).count()));
	}

	private double logAgeSeconds() {
		FollowerStatus status = this.components.logFollower().status();
		return status.everSucceeded()
				? (this.components.time().nanoTime() - status.lastSuccessNanos()) / NANOS_PER_SECOND : -1;
	}

	private void addJobMetrics(Metrics metrics) {
		metrics.addGauge("masticwick_active_jobs", "Jobs without a final answer.",
				this.components.dispatcher()::activeJobCount);
		metrics.addGauge("masticwick_remembered_tickets", "Submitted tickets that have not expired.",
				this.components.ticketBooks()::rememberedCount);
		metrics.addGauge("masticwick_remembered_bytes", "Estimated memory used by the answers of unexpired tickets.",
				this.components.ticketBooks()::rememberedBytes);
		metrics.addGauge("masticwick_open_requests", "Requests of callers awaiting their answer.",
				this.components.openRequestCount()::getAsInt);
	}

	private void addSchedulerMetrics(Metrics metrics) {
		metrics.addGauge("masticwick_ejected_endpoints",
				"Endpoints that receive no tasks because they fail or are slow.",
				() -> snapshot().endpoints().stream().filter(SchedulerSnapshot.Endpoint::ejected).count());
		metrics.addGauge("masticwick_drained_domains",
				"Failure domains on whose endpoints this host starts no tasks because they are drained.",
				() -> snapshot().drainedDomains().size());
		metrics.addGauge("masticwick_queued_tasks", "Queued tasks, by service.", "service",
				() -> byService(SchedulerSnapshot.Service::queuedCount));
		metrics.addGauge("masticwick_running_tasks",
				"Tasks started by this host that endpoints are running, by service.", "service",
				() -> byService(SchedulerSnapshot.Service::runningCount));
		metrics.addCounter("masticwick_scheduler_events_total", "Decisions of the scheduler, by event.", "event",
				() -> snapshot().counters());
	}

	private Map<String, Double> byService(ToDoubleFunction<SchedulerSnapshot.Service> valueOf) {
		return snapshot().services()
			.stream()
			.limit(Metrics.MAX_LABELED_SERVICE_COUNT)
			.collect(Collectors.toMap(SchedulerSnapshot.Service::name, valueOf::applyAsDouble));
	}

	private SchedulerSnapshot snapshot() {
		return this.components.scheduler().snapshot(this.components.time().nanoTime());
	}

}
