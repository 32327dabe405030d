package org.masticwick.daemon.connection;

import java.util.List;
import java.util.stream.Stream;

import org.masticwick.core.connection.DomainLoad;
import org.masticwick.core.connection.HostSummary;
import org.masticwick.core.connection.Liveness;
import org.masticwick.core.connection.Membership;
import org.masticwick.core.connection.PeerStatus;
import org.masticwick.core.connection.PeerView;
import org.masticwick.wire.PeerMessage;

/**
 * Creates summaries of failure domains from the membership. They omit lost hosts.
 */
final class SummaryFactory {

	private final Membership membership;

	SummaryFactory(Membership membership) {
		this.membership = membership;
	}

	/**
	 * Creates the summary of this host's own domain, which includes this host.
	 * @param ownStatus the status of this host
	 * @param ownSequence the sequence number of the last heartbeat of this host
	 * @param nowNanos the current time on the monotonic clock
	 * @return the summary
	 */
	PeerMessage.DomainSummary createOwn(PeerStatus ownStatus, long ownSequence, long nowNanos) {
		String domain = this.membership.self().domain();
		List<PeerView> peers = peersNotLost(domain, nowNanos);
		HostSummary self = HostSummary.of(this.membership.self(), ownSequence, ownStatus, 0);
		List<PeerStatus> serving = Stream
			.concat(Stream.of(ownStatus), peers.stream().filter(PeerView::isServing).map(PeerView::status))
			.toList();
		return new PeerMessage.DomainSummary(domain, DomainLoad.of(serving),
				Stream.concat(Stream.of(self), peers.stream().map(SummaryFactory::hostSummary)).toList());
	}

	/**
	 * Creates the summary of another domain.
	 * @param domain the domain
	 * @param nowNanos the current time on the monotonic clock
	 * @return the summary
	 */
	PeerMessage.DomainSummary createFor(String domain, long nowNanos) {
		return new PeerMessage.DomainSummary(domain, this.membership.domainLoad(domain, nowNanos),
				peersNotLost(domain, nowNanos).stream().map(SummaryFactory::hostSummary).toList());
	}

	private List<PeerView> peersNotLost(String domain, long nowNanos) {
		return this.membership.peersOf(domain, nowNanos)
			.stream()
			.filter((view) -> view.liveness() != Liveness.LOST)
			.toList();
	}

	private static HostSummary hostSummary(PeerView view) {
		return HostSummary.of(view.host(), view.sequence(), view.status(), view.ageMillis());
	}

}
