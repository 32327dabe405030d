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
 * Adds metrics that are read from the parts of an entry host at each scrape.
 */
final class HostMetrics {

	private static final double NANOS_PER_SECOND = 1e9;

	private final ObservedComponents components;

	private HostMetrics(ObservedComponents components) {
		this.components = components;
	}

	/**
	 * Adds the metrics of a host.
	 * @param metrics where they are added
	 * @param components the parts of the host
	 */
	static void add(Metrics metrics, ObservedComponents components) {
		HostMetrics hostMetrics = new HostMetrics(components);
		hostMetrics.addVersionMetrics(metrics);
		hostMetrics.addJobMetrics(metrics);
		hostMetrics.addSchedulerMetrics(metrics);
		metrics.addPeerTraffic(components.traffic()::snapshot);
		metrics.addGauge("masticwick_heap_used_bytes", "The used heap.",
				() -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
	}

	private void addVersionMetrics(Metrics metrics) {
		metrics.addGauge("masticwick_version", "The version in force; 0 if none is.", this::activeVersionNumber);
		metrics.addGauge("masticwick_log_offset", "The offset up to which the log was read.",
				this.components.registry()::nextOffset);
		metrics.addGauge("masticwick_log_age_seconds", "How long ago the log was read last; -1 for never.",
				this::logAgeSeconds);
		metrics.addGauge("masticwick_peers_behind", "Peers whose version is older than that of this host.",
				() -> peers().stream().filter((peer) -> peer.status().versionNumber() < activeVersionNumber()).count());
		metrics.addLabeledGauges("masticwick_peers", "Entry hosts that are known, by what is thought of them.",
				"liveness", this::peersByLiveness);
		metrics.addCounter("masticwick_log_failures_total", "Reads of the log that failed.",
				() -> this.components.logFollower().status().failureCount());
	}

	private double activeVersionNumber() {
		return this.components.registry().known() ? this.components.registry().current().number() : 0;
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
		metrics.addGauge("masticwick_active_jobs", "Jobs that have not ended.",
				this.components.dispatcher()::activeJobCount);
		metrics.addGauge("masticwick_remembered_tickets", "Submitted tickets that have not expired.",
				this.components.ticketBooks()::rememberedCount);
		metrics.addGauge("masticwick_remembered_bytes", "Memory that answers of unexpired tickets take.",
				this.components.ticketBooks()::rememberedBytes);
		metrics.addGauge("masticwick_open_requests", "Requests of callers that wait for an answer.",
				this.components.openRequestCount()::getAsInt);
	}

	private void addSchedulerMetrics(Metrics metrics) {
		metrics.addGauge("masticwick_ejected_endpoints", "Endpoints that get no work because they fail or are slow.",
				() -> snapshot().endpoints().stream().filter(SchedulerSnapshot.Endpoint::ejected).count());
		metrics.addLabeledGauges("masticwick_queued_tasks", "Tasks that wait, by service.", "service",
				() -> byService(SchedulerSnapshot.Service::queuedCount));
		metrics.addLabeledGauges("masticwick_running_tasks", "Tasks that endpoints run for this host, by service.",
				"service", () -> byService(SchedulerSnapshot.Service::runningCount));
		metrics.addLabeledCounters("masticwick_scheduler_events_total", "What the scheduler decided, by event.",
				"event", () -> snapshot().counters());
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
