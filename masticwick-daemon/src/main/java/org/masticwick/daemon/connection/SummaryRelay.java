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

	private final Map<String, Long> relayedByOthersNanos = new ConcurrentHashMap<>();

	private final Map<String, ToldSummary> told = new HashMap<>();

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
	 * Takes note that a peer that comes before this host told of a domain.
	 * @param domain the domain
	 * @param nowNanos the time
	 */
	void relayedByOther(String domain, long nowNanos) {
		this.relayedByOthersNanos.put(domain, nowNanos);
	}

	/**
	 * Returns what to pass on now.
	 * @param nowNanos the time
	 * @return the summaries
	 */
	List<PeerMessage.DomainSummary> due(long nowNanos) {
		forgetOld(this.receivedNanos, nowNanos);
		forgetOld(this.relayedByOthersNanos, nowNanos);
		this.told.keySet().retainAll(this.receivedNanos.keySet());
		this.cadences.keySet().retainAll(this.receivedNanos.keySet());
		return this.receivedNanos.keySet()
			.stream()
			.sorted()
			.flatMap((domain) -> due(domain, nowNanos).stream())
			.toList();
	}

	private Optional<PeerMessage.DomainSummary> due(String domain, long nowNanos) {
		PeerMessage.DomainSummary whole = this.summaries.of(domain, nowNanos);
		ToldSummary told = this.told.computeIfAbsent(domain, (key) -> new ToldSummary());
		Cadence cadence = this.cadences.computeIfAbsent(domain, (key) -> new Cadence(this.intervalMillis));
		boolean changed = told.differs(whole);
		boolean needless = !changed && this.relayedByOthersNanos.containsKey(domain);
		return (!needless && cadence.isDue(nowNanos, changed)) ? Optional.of(told.next(whole)) : Optional.empty();
	}

	private void forgetOld(Map<String, Long> times, long nowNanos) {
		long staleNanos = TimeUnit.MILLISECONDS.toNanos(2 * this.intervalMillis);
		times.values().removeIf((time) -> nowNanos - time > staleNanos);
	}

}
