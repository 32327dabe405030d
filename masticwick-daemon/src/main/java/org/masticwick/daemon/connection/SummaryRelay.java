package org.masticwick.daemon.connection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.masticwick.wire.PeerMessage;

/**
 * Passes on to the own failure domain what other domains tell this host: at once what has
 * changed, and else from time to time, unless a peer that comes first does so. What was
 * heard may be noted on any thread; the other methods belong to one.
 */
final class SummaryRelay {

	private final Map<String, Long> receivedNanos = new ConcurrentHashMap<>();

	private final Map<String, Long> relayedByPeersNanos = new ConcurrentHashMap<>();

	private final Map<String, SentSummaryTracker> trackers = new HashMap<>();

	private final Map<String, IntervalTimer> timers = new HashMap<>();

	private final SummaryFactory summaryFactory;

	private final long intervalMillis;

	SummaryRelay(SummaryFactory summaries, long intervalMillis) {
		this.summaryFactory = summaries;
		this.intervalMillis = intervalMillis;
	}

	/**
	 * Takes note that a domain told this host of itself.
	 * @param domain the domain
	 * @param nowNanos the time
	 */
	void received(String domain, long nowNanos) {
		this.receivedNanos.put(domain, nowNanos);
	}

	/**
	 * Takes note that a peer that comes before this host told of a domain.
	 * @param domain the domain
	 * @param nowNanos the time
	 */
	void relayedByPeer(String domain, long nowNanos) {
		this.relayedByPeersNanos.put(domain, nowNanos);
	}

	/**
	 * Returns what to pass on now.
	 * @param nowNanos the time
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
