package org.masticwick.fleet.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.masticwick.core.pool.PoolReport;
import org.masticwick.core.process.HostAddress;
import org.masticwick.fleet.version.DrainedDomains;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerMessage.HostReport;
import org.masticwick.wire.PeerTransport;

/**
 * Sends the reports of this host to its peers. A peer gets them at the short interval
 * where it depends on detecting a loss fast: it runs jobs of this host's callers, its
 * callers' jobs run here, or it may have to replace this host as owner. All other peers
 * get them at the long interval, and at once when the state of the site changes as seen
 * by this host. So the cost of reports follows the work that hosts share, and hardly
 * grows with the size of the site.
 */
final class PeerReporter {

	/**
	 * The interval between reports to peers that share no work with this host; a multiple
	 * of the short one.
	 */
	private static final int LONG_INTERVAL_MILLIS = 3 * HostReport.SHORT_INTERVAL_MILLIS;

	/**
	 * For how long after the last job a peer gets frequent reports, so that the rate does
	 * not change with each job.
	 */
	private static final long SHARED_WORK_MILLIS = 1_000;

	/** The minimum time between two new connections to a peer that misses reports. */
	private static final long MIN_RECONNECT_INTERVAL_MILLIS = 2_000;

	private final MemberRecord self;

	private final PeerTable peers;

	private final PoolDirectory directory;

	private final BooleanSupplier singleOwnerSite;

	private final ReportRecipients recipients;

	private final Supplier<HostState> state;

	private final Map<HostAddress, Link> links = new HashMap<>();

	private HostState lastState;

	private PeerTransport transport;

	/**
	 * Creates a reporter that has not sent anything.
	 * @param self this host
	 * @param peers the peers
	 * @param directory the owners of the pools
	 * @param singleOwnerSite tells whether one host owns all pools, so that any peer may
	 * have to replace it
	 * @param state returns the current state of this host
	 */
	PeerReporter(MemberRecord self, PeerTable peers, PoolDirectory directory, BooleanSupplier singleOwnerSite,
			Supplier<HostState> state) {
		this.self = self;
		this.peers = peers;
		this.directory = directory;
		this.singleOwnerSite = singleOwnerSite;
		this.recipients = new ReportRecipients(self);
		this.state = state;
	}

	void transport(PeerTransport peerTransport) {
		this.transport = peerTransport;
	}

	/**
	 * Sends the reports that are due. Must be called at the short interval, and may be
	 * called after a change.
	 * @param nowMillis the time in milliseconds
	 */
	void report(long nowMillis) {
		HostState currentState = this.state.get();
		boolean changed = !currentState.isEquivalentTo(this.lastState);
		this.lastState = currentState;
		List<HostAddress> addresses = recipientAddresses();
		this.links.keySet().retainAll(addresses);
		addresses.stream()
			.filter((address) -> changed || isDue(address, nowMillis))
			.forEach((address) -> send(address, currentState, nowMillis));
	}

	/**
	 * Returns the peers that get reports: those that may become the owner of a pool of
	 * this host, and the owners of other pools.
	 * @return the addresses
	 */
	List<HostAddress> recipientAddresses() {
		return this.recipients.select(this.singleOwnerSite.getAsBoolean(), this.directory.localOwner().isPresent(),
				this.peers.addresses(), this.peers::member, this.directory.owners());
	}

	private boolean isDue(HostAddress address, long nowMillis) {
		return nowMillis + HostReport.SHORT_INTERVAL_MILLIS / 2 >= link(address).nextReportMillis
				|| needsFrequentReports(address, nowMillis);
	}

	private void send(HostAddress address, HostState currentState, long nowMillis) {
		int intervalMillis = needsFrequentReports(address, nowMillis) ? HostReport.SHORT_INTERVAL_MILLIS
				: LONG_INTERVAL_MILLIS;
		link(address).nextReportMillis = nowMillis + intervalMillis;
		this.transport.send(address, currentState.toReport(intervalMillis, !this.peers.isLost(address, nowMillis)));
	}

	private boolean needsFrequentReports(HostAddress address, long nowMillis) {
		return nowMillis - link(address).sharedWorkMillis < SHARED_WORK_MILLIS
				|| this.directory.localOwner().isPresent() && mayReplaceThisHost(address);
	}

	private boolean mayReplaceThisHost(HostAddress address) {
		return this.singleOwnerSite.getAsBoolean()
				|| this.peers.member(address).filter((peer) -> !peer.domain().equals(this.self.domain())).isEmpty();
	}

	/**
	 * Records that a peer runs jobs of this host's callers, or this host those of its
	 * callers. The peer is told at once to expect frequent reports, before a job is sent
	 * to it.
	 * @param address the address of the peer
	 * @param nowMillis the time in milliseconds
	 */
	void recordSharedWork(HostAddress address, long nowMillis) {
		Link link = link(address);
		boolean wasFrequent = needsFrequentReports(address, nowMillis);
		link.sharedWorkMillis = nowMillis;
		if (!wasFrequent) {
			send(address, this.state.get(), nowMillis);
		}
	}

	/**
	 * Records that peers run jobs of this host's callers.
	 * @param addresses the addresses of the peers
	 * @param nowMillis the time in milliseconds
	 */
	void recordSharedWork(Collection<HostAddress> addresses, long nowMillis) {
		addresses.forEach((address) -> recordSharedWork(address, nowMillis));
	}

	/**
	 * Replaces the connection to a peer that does not receive the reports of this host.
	 * @param address the address of the peer
	 * @param nowMillis the time in milliseconds
	 */
	void handleMissedReports(HostAddress address, long nowMillis) {
		Link link = link(address);
		if (nowMillis - link.reconnectedMillis >= MIN_RECONNECT_INTERVAL_MILLIS) {
			link.reconnectedMillis = nowMillis;
			this.transport.reconnect(address);
		}
	}

	private Link link(HostAddress address) {
		return this.links.computeIfAbsent(address, (key) -> new Link());
	}

	/**
	 * The state of this host that it reports.
	 *
	 * @param versionNumber the active version, or 0 for none
	 * @param leaving whether this host is about to stop
	 * @param pools the reports on the pools that this host owns
	 * @param poolsWithReachableOwner the names of the pools that this host owns, or whose
	 * owner it has recent contact with
	 * @param hasSeenDurableJobs whether this host has handled or stored durable jobs
	 * @param logReachable whether the log answers this host
	 * @param drains the drained failure domains, or {@code null} if this host does not
	 * know them yet
	 * @param abandonedCalls the numbers of the calls whose jobs this host has given up
	 */
	record HostState(long versionNumber, boolean leaving, List<PoolReport> pools, List<String> poolsWithReachableOwner,
			boolean hasSeenDurableJobs, boolean logReachable, DrainedDomains drains, List<Long> abandonedCalls) {

		private HostReport toReport(int intervalMillis, boolean recipientReachable) {
			return new PeerMessage.HostReport(this.versionNumber, this.leaving, this.pools,
					this.poolsWithReachableOwner, this.hasSeenDurableJobs, this.logReachable, intervalMillis,
					recipientReachable, (this.drains != null) ? this.drains.offset() : HostReport.DRAINS_UNKNOWN,
					(this.drains != null) ? List.copyOf(this.drains.sortedDomains()) : List.of(), this.abandonedCalls);
		}

		/**
		 * Returns whether peers would decide alike by another state. Loads and versions
		 * are not urgent.
		 * @param other the other state, or {@code null}
		 * @return whether it need not be reported at once
		 */
		private boolean isEquivalentTo(HostState other) {
			return other != null && this.leaving == other.leaving && tokens().equals(other.tokens())
					&& this.poolsWithReachableOwner.equals(other.poolsWithReachableOwner)
					&& this.hasSeenDurableJobs == other.hasSeenDurableJobs
					&& drainedDomains().equals(other.drainedDomains());
		}

		private Optional<Set<String>> drainedDomains() {
			return Optional.ofNullable(this.drains).map(DrainedDomains::domains);
		}

		private Map<String, Long> tokens() {
			return this.pools.stream().collect(Collectors.toMap(PoolReport::pool, PoolReport::fencingToken));
		}

	}

	private static final class Link {

		private static final long NEVER = Long.MIN_VALUE / 2;

		private long nextReportMillis = NEVER;

		private long sharedWorkMillis = NEVER;

		private long reconnectedMillis = NEVER;

	}

}
