package org.masticwick.fleet.process;

import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.HostAddress;
import org.masticwick.fleet.version.DrainedDomains;
import org.masticwick.fleet.version.DrainedDomainsHolder;
import org.masticwick.wire.PeerMessage;

/**
 * Applies the periodic reports of peers.
 */
final class HostReports {

	/** The logger name is a field of the log lines, which keep that of the host. */
	private static final Logger logger = LoggerFactory.getLogger(FleetHost.class);

	private final PeerTable peers;

	private final PoolDirectory directory;

	private final PoolOwnership ownership;

	private final PeerReporter reporter;

	private final LossExchange lossExchange;

	private final DrainedDomainsHolder drains;

	private final VersionExchange versionExchange;

	/**
	 * Creates an instance.
	 * @param peers gets the reports
	 * @param directory the owners of the pools
	 * @param ownership gets the reported pools
	 * @param reporter is told which peers miss the reports of this host
	 * @param lossExchange sends lost tasks to peers that become reachable
	 * @param drains gets the reported drained failure domains
	 * @param versionExchange gets the reported versions
	 */
	HostReports(PeerTable peers, PoolDirectory directory, PoolOwnership ownership, PeerReporter reporter,
			LossExchange lossExchange, DrainedDomainsHolder drains, VersionExchange versionExchange) {
		this.peers = peers;
		this.directory = directory;
		this.ownership = ownership;
		this.reporter = reporter;
		this.lossExchange = lossExchange;
		this.drains = drains;
		this.versionExchange = versionExchange;
	}

	/**
	 * Applies a report.
	 * @param from the address of the peer
	 * @param report its report
	 * @param nowMillis the time in milliseconds
	 */
	void apply(HostAddress from, PeerMessage.HostReport report, long nowMillis) {
		recordContact(from, report, nowMillis);
		if (report.drainsOffset() != PeerMessage.HostReport.DRAINS_UNKNOWN) {
			this.drains.replaceIfNewer(new DrainedDomains(report.drainsOffset(), Set.copyOf(report.drainedDomains())),
					"peer " + from);
		}
		this.directory.localOwner()
			.ifPresent((owner) -> owner.cancelAbandoned(from.toString(), report.abandonedCalls()));
		report.pools().forEach((pool) -> this.directory.resetSent(pool.pool()));
		this.ownership.applyPeerReports(report.pools());
		this.versionExchange.recordPeerVersion(from, report.versionNumber(), nowMillis);
	}

	private void recordContact(HostAddress from, PeerMessage.HostReport report, long nowMillis) {
		if (!this.peers.isReachable(from, nowMillis)) {
			logger.atInfo().addKeyValue("peer", from).log("Peer became reachable");
			this.directory.localOwner().ifPresent((owner) -> this.lossExchange.sendAll(from));
		}
		this.peers.recordReport(from, report, nowMillis);
		if (!report.recipientReachable()) {
			this.reporter.handleMissedReports(from, nowMillis);
			this.directory.localOwner().ifPresent((owner) -> owner.reportsMissedBy(from.toString()));
		}
	}

}
