package org.masticwick.daemon.connection;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.masticwick.core.connection.HostSummary;
import org.masticwick.core.connection.Liveness;
import org.masticwick.core.connection.LoadReport;
import org.masticwick.core.connection.Membership;
import org.masticwick.core.connection.PeerSource;
import org.masticwick.core.connection.PeerStatus;
import org.masticwick.core.connection.PeerView;
import org.masticwick.wire.PeerMessage;

/**
 * Makes summaries of failure domains out of what is known of their hosts.
 */
final class Summaries {

	private final Membership membership;

	Summaries(Membership membership) {
		this.membership = membership;
	}

	/**
	 * Makes the summary of the domain of this host.
	 * @param ownStatus the status of this host
	 * @param ownSequence the sequence number of the last heartbeat of this host
	 * @param nowNanos the time
	 * @return the summary
	 */
	PeerMessage.DomainSummary own(PeerStatus ownStatus, long ownSequence, long nowNanos) {
		HostSummary self = new HostSummary(this.membership.self(), ownSequence, slim(ownStatus), 0);
		String domain = this.membership.self().domain();
		return new PeerMessage.DomainSummary(domain,
				Stream.concat(Stream.of(self), heard(domain, nowNanos).map(Summaries::summary)).toList());
	}

	/**
	 * Makes the summary of another domain.
	 * @param domain the domain
	 * @param nowNanos the time
	 * @return the summary
	 */
	PeerMessage.DomainSummary of(String domain, long nowNanos) {
		return new PeerMessage.DomainSummary(domain, heard(domain, nowNanos).map(Summaries::summary).toList());
	}

	/**
	 * Returns what of a summary is worth telling at once, for comparison with a later
	 * one.
	 * @param summary the summary
	 * @return the hosts without what changes all the time
	 */
	static List<HostSummary> gist(PeerMessage.DomainSummary summary) {
		return summary.hosts()
			.stream()
			.map((host) -> new HostSummary(host.host(), 0, host.status().withLoad(PeerStatus.NO_LOAD), 0))
			.toList();
	}

	private Stream<PeerView> heard(String domain, long nowNanos) {
		return this.membership.peersOf(domain, nowNanos)
			.stream()
			.filter((view) -> view.liveness() != Liveness.LOST && view.source() != PeerSource.HELLO);
	}

	private static HostSummary summary(PeerView view) {
		return new HostSummary(view.host(), view.sequence(), slim(view.status()), view.ageMillis());
	}

	private static PeerStatus slim(PeerStatus status) {
		return status.withLoad(new LoadReport(status.load().services(), Map.of(), Map.of()));
	}

}
