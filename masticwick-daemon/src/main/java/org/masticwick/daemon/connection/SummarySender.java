package org.masticwick.daemon.connection;

import java.util.HashMap;
import java.util.Map;

import org.masticwick.core.connection.Membership;
import org.masticwick.core.connection.PeerStatus;
import org.masticwick.core.process.EntryHost;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerTransport;

/**
 * Sends summaries of the own failure domain to other domains: at once when a host's
 * status has changed, otherwise once per interval. Not safe for several threads.
 */
final class SummarySender {

	private final SentSummaryTracker ownSummaryTracker = new SentSummaryTracker();

	private final Map<String, TargetState> targetStateByDomain = new HashMap<>();

	private final PeerTransport transport;

	private final Membership membership;

	private final SummaryFactory summaryFactory;

	private final DomainLinks links;

	private final IntervalTimer timer;

	SummarySender(HeartbeatSettings settings, PeerTransport transport, Membership membership,
			SummaryFactory summaryFactory) {
		this.transport = transport;
		this.membership = membership;
		this.summaryFactory = summaryFactory;
		this.links = new DomainLinks(membership, settings.linkCount());
		this.timer = new IntervalTimer(settings.summaryIntervalMillis());
	}

	/**
	 * Sends the summary of the own domain, if it is due, to the hosts of other domains
	 * that are assigned to this host.
	 * @param status the status of this host
	 * @param sequence the sequence number of the last heartbeat of this host
	 * @param nowNanos the current time on the monotonic clock
	 */
	void sendIfDue(PeerStatus status, long sequence, long nowNanos) {
		PeerMessage.DomainSummary summary = this.summaryFactory.createOwn(status, sequence, nowNanos);
		if (this.timer.restartIfDue(nowNanos, this.ownSummaryTracker.hasChanges(summary))) {
			this.ownSummaryTracker.recordNextToSend(summary);
			this.membership.domains()
				.stream()
				.filter((domain) -> !domain.equals(summary.domain()))
				.flatMap((domain) -> this.links.target(domain, sequence, nowNanos).stream())
				.forEach((target) -> this.transport.send(target.peerAddress(),
						trackerOf(target).recordNextToSend(summary)));
		}
	}

	private SentSummaryTracker trackerOf(EntryHost target) {
		TargetState state = this.targetStateByDomain.get(target.domain());
		if (state == null || !state.target().equals(target)) {
			state = new TargetState(target, new SentSummaryTracker());
			this.targetStateByDomain.put(target.domain(), state);
		}
		return state.tracker();
	}

	/**
	 * The receiver of summaries in another domain, with the tracker of the summaries sent
	 * to it.
	 *
	 * @param target the receiving host
	 * @param tracker tracks the summaries sent to this host
	 */
	private record TargetState(EntryHost target, SentSummaryTracker tracker) {
	}

}
