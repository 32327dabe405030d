package org.masticwick.daemon.connection;

import java.util.HashMap;
import java.util.Map;

import org.masticwick.core.connection.Membership;
import org.masticwick.core.connection.PeerStatus;
import org.masticwick.core.process.EntryHost;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerTransport;

/**
 * Tells other failure domains of the own one: at once what has changed, and else from
 * time to time. Not safe for several threads.
 */
final class SummarySender {

	private final ToldSummary lastSummary = new ToldSummary();

	private final Map<String, ToldLink> toldLinks = new HashMap<>();

	private final PeerTransport transport;

	private final Membership membership;

	private final Summaries summaries;

	private final DomainLinks links;

	private final Cadence cadence;

	SummarySender(HeartbeatSettings settings, PeerTransport transport, Membership membership, Summaries summaries) {
		this.transport = transport;
		this.membership = membership;
		this.summaries = summaries;
		this.links = new DomainLinks(membership, settings.linkCount());
		this.cadence = new Cadence(settings.summaryIntervalMillis());
	}

	/**
	 * Sends the summary of the own domain where this host has the task to, if it is time.
	 * @param status the status of this host
	 * @param sequence the sequence number of the last heartbeat of this host
	 * @param nowNanos the time
	 */
	void sendIfDue(PeerStatus status, long sequence, long nowNanos) {
		PeerMessage.DomainSummary summary = this.summaries.own(status, sequence, nowNanos);
		if (this.cadence.isDue(nowNanos, this.lastSummary.differs(summary))) {
			this.lastSummary.next(summary);
			this.membership.domains()
				.stream()
				.filter((domain) -> !domain.equals(summary.domain()))
				.flatMap((domain) -> this.links.target(domain, sequence, nowNanos).stream())
				.forEach((target) -> this.transport.send(target.peerAddress(), told(target).next(summary)));
		}
	}

	private ToldSummary told(EntryHost target) {
		ToldLink known = this.toldLinks.get(target.domain());
		if (known == null || !known.target().equals(target)) {
			known = new ToldLink(target, new ToldSummary());
			this.toldLinks.put(target.domain(), known);
		}
		return known.summary();
	}

	/**
	 * Holds what was told of the own domain to a host of another.
	 *
	 * @param target the host
	 * @param summary what was told
	 */
	private record ToldLink(EntryHost target, ToldSummary summary) {
	}

}
