package org.masticwick.daemon.connection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.masticwick.wire.PeerMessage;

/**
 * Selects the summaries of other failure domains that this host forwards to its own
 * domain: changed ones at once, unchanged ones once per interval. An unchanged summary is
 * skipped while a peer with a lower address forwards it. {@link #recordReceived} and
 * {@link #recordRelayedByPeer} may be called on any thread, {@link #dueSummaries} on one
 * thread only.
 */
final class SummaryRelay {

	private final Map<String, Long> receivedNanos = new ConcurrentHashMap<>();

	private final Map<String, Long> relayedByPeersNanos = new ConcurrentHashMap<>();

	private final Map<String, SentSummaryTracker> trackers = new HashMap<>();

	private final Map<String, IntervalTimer> timers = new HashMap<>();

	private final SummaryFactory summaryFactory;

	private final long intervalMillis;

	SummaryRelay(SummaryFactory summaryFactory, long intervalMillis) {
		this.summaryFactory = summaryFactory;
		this.intervalMillis = intervalMillis;
	}

	/**
	 * Records that this host received a summary from a host of the summarized domain.
	 * @param domain the domain
	 * @param nowNanos the current time on the monotonic clock
	 */
	void recordReceived(String domain, long nowNanos) {
		this.receivedNanos.put(domain, nowNanos);
	}

	/**
	 * Records that a peer of the own domain, with a lower address than this host,
	 * forwarded the summary of a domain.
	 * @param domain the domain
	 * @param nowNanos the current time on the monotonic clock
	 */
	void recordRelayedByPeer(String domain, long nowNanos) {
		this.relayedByPeersNanos.put(domain, nowNanos);
	}

	/**
	 * Returns the summaries to forward now, each reduced to what has changed.
	 * @param nowNanos the current time on the monotonic clock
	 * @return the summaries
	 */
	List<PeerMessage.DomainSummary> dueSummaries(long nowNanos) {
		evictStale(this.receivedNanos, nowNanos);
		evictStale(this.relayedByPeersNanos, nowNanos);
		this.trackers.keySet().retainAll(this.receivedNanos.keySet());
		this.timers.keySet().retainAll(this.receivedNanos.keySet());
		return this.receivedNanos.keySet()
			.stream()
			.sorted()
			.flatMap((domain) -> dueSummaries(domain, nowNanos).stream())
			.toList();
	}

	private Optional<PeerMessage.DomainSummary> dueSummaries(String domain, long nowNanos) {
		PeerMessage.DomainSummary full = this.summaryFactory.createFor(domain, nowNanos);
		SentSummaryTracker tracker = this.trackers.computeIfAbsent(domain, (key) -> new SentSummaryTracker());
		IntervalTimer timer = this.timers.computeIfAbsent(domain, (key) -> new IntervalTimer(this.intervalMillis));
		boolean changed = tracker.hasChanges(full);
		boolean redundant = !changed && this.relayedByPeersNanos.containsKey(domain);
		return (!redundant && timer.restartIfDue(nowNanos, changed)) ? Optional.of(tracker.recordNextToSend(full))
				: Optional.empty();
	}

	private void evictStale(Map<String, Long> timesNanos, long nowNanos) {
		long maxAgeNanos = TimeUnit.MILLISECONDS.toNanos(2 * this.intervalMillis);
		timesNanos.values().removeIf((timeNanos) -> nowNanos - timeNanos > maxAgeNanos);
	}

}
