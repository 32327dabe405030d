package org.masticwick.core.request.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.masticwick.core.connection.LoadReport;
import org.masticwick.core.connection.ServiceLoad;
import org.masticwick.core.process.EntryHost;

/**
 * Keeps the last report of each peer.
 */
final class PeerReports {

	private static final long MAX_REPORT_AGE_NANOS = 3_000_000_000L;

	private final Map<EntryHost, Report> reports = new HashMap<>();

	private final EntryHost self;

	/**
	 * Creates an object without peers.
	 * @param self this host
	 */
	PeerReports(EntryHost self) {
		this.self = self;
	}

	/**
	 * Takes in a report.
	 * @param peer the peer
	 * @param load its load
	 * @param nowNanos the time
	 * @return the report before it; {@code null} if the peer is new
	 */
	Report update(EntryHost peer, LoadReport load, long nowNanos) {
		return this.reports.put(peer, new Report(load, nowNanos));
	}

	/**
	 * Forgets a peer.
	 * @param peer the peer
	 * @return its last report; {@code null} if it was not known
	 */
	Report remove(EntryHost peer) {
		return this.reports.remove(peer);
	}

	/**
	 * Returns the entry hosts of this host's domain.
	 * @param domain the domain
	 * @return this host and the peers that are known
	 */
	List<EntryHost> hosts(String domain) {
		Stream<EntryHost> peers = this.reports.keySet().stream().filter((host) -> host.domain().equals(domain));
		return Stream.concat(Stream.of(this.self), peers).toList();
	}

	/**
	 * Returns whether the hosts of a domain are known to have no work waiting.
	 * @param domain the domain
	 * @param service the service
	 * @param nowNanos the time
	 * @return {@code true} if a host reported of late and none has work waiting
	 */
	boolean reportsNoQueuedTasks(String domain, String service, long nowNanos) {
		List<ServiceLoad> loads = this.reports.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().domain().equals(domain))
			.filter((entry) -> nowNanos - entry.getValue().receivedNanos() < MAX_REPORT_AGE_NANOS)
			.map((entry) -> entry.getValue().load().services().getOrDefault(service, new ServiceLoad(0, 0, 0, 0)))
			.toList();
		return !loads.isEmpty() && loads.stream().allMatch((load) -> load.queuedCount() == 0);
	}

	/**
	 * Returns whether a peer had work waiting when it last reported.
	 * @param peer the peer
	 * @param service the service
	 * @return {@code true} if so
	 */
	boolean hasQueuedTasks(EntryHost peer, String service) {
		Report report = this.reports.get(peer);
		return report != null && report.load().services().containsKey(service)
				&& report.load().services().get(service).queuedCount() > 0;
	}

	/**
	 * Returns what all peers run.
	 * @return the number of tasks by team
	 */
	Map<String, Integer> runningCountsByTeam() {
		Map<String, Integer> counts = new HashMap<>();
		this.reports.values()
			.forEach((report) -> report.load()
				.teamRunning()
				.forEach((team, count) -> counts.merge(team, count, Integer::sum)));
		return counts;
	}

	/**
	 * Is a report and when it came.
	 *
	 * @param load the load
	 * @param receivedNanos the time in nanoseconds
	 */
	record Report(LoadReport load, long receivedNanos) {

	}

}
