package org.masticwick.daemon.connection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.masticwick.core.connection.HostSummary;
import org.masticwick.wire.PeerMessage;

/**
 * Passes on to the own failure domain what other domains tell this host: at once what has
 * changed, and else from time to time. Summaries may be received on any thread; the other
 * methods belong to one.
 */
final class SummaryRelay {

	private final Map<String, Long> receivedNanos = new ConcurrentHashMap<>();

	private final Map<String, List<HostSummary>> gists = new HashMap<>();

	private final Map<String, Cadence> cadences = new HashMap<>();

	private final Summaries summaries;

	private final long intervalMillis;

	SummaryRelay(Summaries summaries, long intervalMillis) {
		this.summaries = summaries;
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
	 * Returns what to pass on now.
	 * @param nowNanos the time
	 * @return the summaries
	 */
	List<PeerMessage.DomainSummary> due(long nowNanos) {
		long staleNanos = TimeUnit.MILLISECONDS.toNanos(2 * this.intervalMillis);
		this.receivedNanos.values().removeIf((received) -> nowNanos - received > staleNanos);
		this.gists.keySet().retainAll(this.receivedNanos.keySet());
		this.cadences.keySet().retainAll(this.receivedNanos.keySet());
		return this.receivedNanos.keySet()
			.stream()
			.sorted()
			.map((domain) -> this.summaries.of(domain, nowNanos))
			.filter((summary) -> isDue(summary, nowNanos))
			.toList();
	}

	private boolean isDue(PeerMessage.DomainSummary summary, long nowNanos) {
		List<HostSummary> gist = Summaries.gist(summary);
		boolean changed = !gist.equals(this.gists.put(summary.domain(), gist));
		return this.cadences.computeIfAbsent(summary.domain(), (key) -> new Cadence(this.intervalMillis))
			.isDue(nowNanos, changed);
	}

}
