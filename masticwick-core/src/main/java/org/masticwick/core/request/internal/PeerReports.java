package org.masticwick.core.request.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.masticwick.core.connection.LoadReport;
import org.masticwick.core.connection.ServiceLoad;
import org.masticwick.core.process.EntryHost;

/**
 * The last load report of each peer.
 */
final class PeerReports {

	private static final long MAX_REPORT_AGE_NANOS = 3_000_000_000L;

	private final Map<EntryHost, Report> reports = new HashMap<>();

	private final EntryHost self;

	/**
	 * Creates an empty set of reports.
	 * @param self this host
	 */
	PeerReports(EntryHost self) {
		this.self = self;
	}

	/**
	 * Records a report.
	 * @param peer the peer
	 * @param load the load that the peer reported
	 * @param nowNanos the current time
	 * @return the previous report of the peer; {@code null} if there is none
	 */
	Report update(EntryHost peer, LoadReport load, long nowNanos) {
		return this.reports.put(peer, new Report(load, nowNanos));
	}

	/**
	 * Removes the report of a peer.
	 * @param peer the peer
	 * @return its last report; {@code null} if there is none
	 */
	Report remove(EntryHost peer) {
		return this.reports.remove(peer);
	}

	/**
	 * Returns the entry hosts of a failure domain.
	 * @param domain the failure domain
	 * @return this host, followed by the peers of the domain that sent a report
	 */
	List<EntryHost> hosts(String domain) {
		Stream<EntryHost> peers = this.reports.keySet().stream().filter((host) -> host.domain().equals(domain));
		return Stream.concat(Stream.of(this.self), peers).toList();
	}

	/**
	 * Returns whether recent reports show that the hosts of a failure domain have no
	 * queued tasks.
	 * @param domain the failure domain
	 * @param service the service
	 * @param nowNanos the current time
	 * @return {@code true} if there is a recent report and none shows queued tasks
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
	 * Returns whether a peer had queued tasks when it last reported.
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
	 * Returns the number of tasks that all peers run, by team.
	 * @return the number of tasks by team name
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
	 * A report and the time at which it was received.
	 *
	 * @param load the reported load
	 * @param receivedNanos the time of receipt, in nanoseconds of the monotonic clock
	 */
	record Report(LoadReport load, long receivedNanos) {

	}

}
