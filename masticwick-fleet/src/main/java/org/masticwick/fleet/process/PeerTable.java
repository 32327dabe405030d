package org.masticwick.fleet.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.IntStream;

import org.masticwick.core.pool.PoolReport;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.wire.PeerMessage.HostReport;

/**
 * The other entry hosts: their member records, their newest reports and the times of last
 * contact.
 */
final class PeerTable {

	/** How many reports of a peer must be missing in a row before it counts as lost. */
	private static final int LOST_REPORT_COUNT = 3;

	/**
	 * How many reports of a peer must be missing in a row before it is suspect, and
	 * avoided if there is another choice.
	 */
	private static final int SUSPECT_REPORT_COUNT = 2;

	/** How much later than announced a report may arrive. */
	private static final long MAX_REPORT_DELAY_MILLIS = 125;

	/**
	 * After how long without a report a peer counts as lost that reports at the short
	 * interval; see docs/design/PLATFORM.md.
	 */
	static final long PEER_TIMEOUT_MILLIS = timeoutMillis(HostReport.SHORT_INTERVAL_MILLIS);

	/** How much later than announced a report of a peer may be that is not suspect. */
	private static final long USUAL_REPORT_DELAY_MILLIS = 10;

	/** How long a disconnected peer may take to reconnect before it counts as lost. */
	private static final long RECONNECT_MILLIS = 200;

	/**
	 * How long a host may take after its start to receive a report of each running peer.
	 */
	private static final long DISCOVERY_MILLIS = 1_200;

	private final Map<HostAddress, Peer> peers = new HashMap<>();

	/** The peer that reports a pool with the highest fencing token, by pool. */
	private final Map<String, ReportedOwner> ownerByPool = new HashMap<>();

	private final long startedMillis;

	PeerTable(long nowMillis) {
		this.startedMillis = nowMillis;
	}

	private static long timeoutMillis(int intervalMillis) {
		return (long) LOST_REPORT_COUNT * intervalMillis + MAX_REPORT_DELAY_MILLIS;
	}

	/**
	 * Adds a member, or replaces its record by one of a later incarnation.
	 * @param member the member
	 * @return whether there was no member with this address
	 */
	boolean addMember(MemberRecord member) {
		Peer peer = this.peers.computeIfAbsent(member.peerAddress(), (address) -> new Peer());
		boolean isNew = peer.member == null;
		if (isNew || peer.member.incarnation().compareTo(member.incarnation()) < 0) {
			peer.member = member;
		}
		return isNew;
	}

	/**
	 * Records the incarnation of a peer if it is later than that of its member record.
	 * @param address the address of the peer; ignored if it is not a member
	 * @param incarnation the incarnation
	 * @return whether the peer was restarted since its member record, so that its
	 * previous incarnation is lost
	 */
	boolean recordIncarnation(HostAddress address, Incarnation incarnation) {
		Peer peer = this.peers.get(address);
		if (peer == null || peer.member == null || peer.member.incarnation().compareTo(incarnation) >= 0) {
			return false;
		}
		peer.member = new MemberRecord(peer.member.hostName(), peer.member.domain(), address, incarnation,
				peer.member.processorMillicores());
		return true;
	}

	/**
	 * Records that a peer has sent a job, so that its loss is noticed also if none of its
	 * reports arrives.
	 * @param address the address of the peer
	 * @param nowMillis the time in milliseconds
	 */
	void recordCall(HostAddress address, long nowMillis) {
		if (!isReachable(address, nowMillis)) {
			Peer peer = this.peers.computeIfAbsent(address, (key) -> new Peer());
			peer.lastContactMillis = nowMillis;
			peer.contactSinceMillis = nowMillis;
			peer.lossReported = false;
		}
	}

	/**
	 * Returns whether a member is reachable and was not restarted since its record.
	 * @param member the member
	 * @param nowMillis the time in milliseconds
	 * @return whether this incarnation of the member is reachable
	 */
	boolean isReachable(MemberRecord member, long nowMillis) {
		return isReachable(member.peerAddress(), nowMillis) && member(member.peerAddress())
			.filter((peerMember) -> peerMember.incarnation().compareTo(member.incarnation()) <= 0)
			.isPresent();
	}

	Collection<HostAddress> addresses() {
		return List.copyOf(this.peers.keySet());
	}

	void recordReport(HostAddress from, HostReport report, long nowMillis) {
		Peer peer = this.peers.computeIfAbsent(from, (address) -> new Peer());
		boolean ownershipChanged = !hasSameTokens(peer.pools(), report.pools());
		if (nowMillis - peer.lastContactMillis > peer.timeoutMillis()) {
			peer.contactSinceMillis = nowMillis;
		}
		if (!report.recipientReachable()) {
			peer.missedSinceMillis = (peer.missedSinceMillis > Peer.NEVER) ? peer.missedSinceMillis : nowMillis;
			peer.lastMissedMillis = nowMillis;
		}
		else {
			peer.missedSinceMillis = Peer.NEVER;
		}
		peer.report = report;
		peer.intervalMillis = report.intervalMillis();
		if (ownershipChanged) {
			rebuildOwners();
		}
		peer.lastContactMillis = nowMillis;
		peer.lossReported = false;
	}

	/**
	 * Records that the connection to a peer was closed, which shortens the time until it
	 * counts as lost.
	 * @param address the address of the peer
	 * @param nowMillis the time in milliseconds
	 */
	void recordDisconnection(HostAddress address, long nowMillis) {
		Peer peer = this.peers.get(address);
		if (peer != null) {
			long latestContactMillis = nowMillis - peer.timeoutMillis() + RECONNECT_MILLIS;
			peer.lastContactMillis = Math.min(peer.lastContactMillis, latestContactMillis);
		}
	}

	/**
	 * Expects a peer to report at the short interval from now on, as this host runs jobs
	 * of its callers.
	 * @param address the address of the peer; ignored if it has never reported
	 * @param nowMillis the time in milliseconds
	 */
	void expectFrequentReports(HostAddress address, long nowMillis) {
		Peer peer = this.peers.get(address);
		if (peer == null || peer.report == null || peer.intervalMillis <= HostReport.SHORT_INTERVAL_MILLIS) {
			return;
		}
		if (isReachable(address, nowMillis)) {
			long earliestContactMillis = nowMillis - SUSPECT_REPORT_COUNT * HostReport.SHORT_INTERVAL_MILLIS;
			peer.lastContactMillis = Math.max(peer.lastContactMillis, earliestContactMillis);
		}
		peer.intervalMillis = HostReport.SHORT_INTERVAL_MILLIS;
	}

	boolean isReachable(HostAddress address, long nowMillis) {
		Peer peer = this.peers.get(address);
		return peer != null && nowMillis - peer.lastContactMillis <= peer.timeoutMillis();
	}

	/**
	 * Returns whether a peer has reported before and is unreachable now.
	 * @param address the address of the peer
	 * @param nowMillis the time in milliseconds
	 * @return whether the peer counts as lost
	 */
	boolean isLost(HostAddress address, long nowMillis) {
		Peer peer = this.peers.get(address);
		return peer != null && peer.report != null && !isReachable(address, nowMillis);
	}

	/**
	 * Returns whether reports of a peer are missing.
	 * @param address the address of the peer
	 * @param nowMillis the time in milliseconds
	 * @return whether the peer may be lost
	 */
	boolean isSuspect(HostAddress address, long nowMillis) {
		Peer peer = this.peers.get(address);
		return peer == null || nowMillis - peer.lastContactMillis > peer.suspectMillis();
	}

	/**
	 * Returns for how long a peer has been reachable without a gap.
	 * @param address the address of the peer
	 * @param nowMillis the time in milliseconds
	 * @return the time in milliseconds, or 0 if it is unreachable
	 */
	long contactDurationMillis(HostAddress address, long nowMillis) {
		return isReachable(address, nowMillis) ? nowMillis - this.peers.get(address).contactSinceMillis : 0;
	}

	/**
	 * Returns when a peer last reported that it does not hear this host.
	 * @param address the address of the peer
	 * @return the time in milliseconds, long ago if it has always heard this host
	 */
	long lastMissedMillis(HostAddress address) {
		return Optional.ofNullable(this.peers.get(address)).map((peer) -> peer.lastMissedMillis).orElse(Peer.NEVER);
	}

	/**
	 * Returns for how long a peer has reported that it does not hear this host.
	 * @param address the address of the peer
	 * @param nowMillis the time in milliseconds
	 * @return the time in milliseconds, or 0 if it hears this host
	 */
	long missedMillis(HostAddress address, long nowMillis) {
		Peer peer = this.peers.get(address);
		return (peer != null && peer.missedSinceMillis > Peer.NEVER) ? nowMillis - peer.missedSinceMillis : 0;
	}

	Optional<HostReport> report(HostAddress address) {
		return Optional.ofNullable(this.peers.get(address)).map((peer) -> peer.report);
	}

	Optional<MemberRecord> member(HostAddress address) {
		return Optional.ofNullable(this.peers.get(address)).map((peer) -> peer.member);
	}

	/**
	 * Returns the members that are reachable and not stopping.
	 * @param nowMillis the time in milliseconds
	 * @return the members
	 */
	List<MemberRecord> reachableMembers(long nowMillis) {
		return this.peers.entrySet()
			.stream()
			.filter((entry) -> isReachable(entry.getKey(), nowMillis))
			.map(Map.Entry::getValue)
			.filter((peer) -> peer.member != null && peer.report != null && !peer.report.leaving())
			.map((peer) -> peer.member)
			.toList();
	}

	/**
	 * Returns all other members, reachable or not.
	 * @return the members
	 */
	List<MemberRecord> members() {
		return this.peers.values().stream().map((peer) -> peer.member).filter(Objects::nonNull).toList();
	}

	/**
	 * Returns whether there are other members in a failure domain, reachable or not.
	 * @param domain the name of the failure domain
	 * @return whether there are any
	 */
	boolean hasMembersIn(String domain) {
		return this.peers.values()
			.stream()
			.anyMatch((peer) -> peer.member != null && peer.member.domain().equals(domain));
	}

	/**
	 * Returns whether a peer has recent contact with the owner of a pool.
	 * @param pool the name of the pool
	 * @param nowMillis the time in milliseconds
	 * @return whether a recent report of any peer lists the pool as having a reachable
	 * owner
	 */
	boolean isOwnerReachableByPeer(String pool, long nowMillis) {
		return this.peers.values()
			.stream()
			.filter((peer) -> peer.report != null && nowMillis - peer.lastContactMillis <= peer.suspectMillis())
			.anyMatch((peer) -> peer.report.poolsWithReachableOwner().contains(pool));
	}

	/**
	 * Returns whether there may be durable jobs, by the newest reports of the peers.
	 * @return {@code false} if an owner has reported and no peer has seen a durable job
	 */
	boolean mayHaveDurableJobs() {
		List<HostReport> reports = this.peers.values()
			.stream()
			.map((peer) -> peer.report)
			.filter(Objects::nonNull)
			.toList();
		return reports.stream().allMatch((report) -> report.pools().isEmpty()) || haveSeenDurableJobs();
	}

	/**
	 * Returns whether any peer has seen durable jobs, by its newest report.
	 * @return whether there have been any; {@code false} if no peer has reported
	 */
	boolean haveSeenDurableJobs() {
		return this.peers.values()
			.stream()
			.map((peer) -> peer.report)
			.filter(Objects::nonNull)
			.anyMatch(HostReport::hasSeenDurableJobs);
	}

	private static boolean hasSameTokens(List<PoolReport> first, List<PoolReport> second) {
		return first.size() == second.size() && IntStream.range(0, first.size())
			.allMatch((index) -> first.get(index).pool().equals(second.get(index).pool())
					&& first.get(index).fencingToken() == second.get(index).fencingToken());
	}

	private void rebuildOwners() {
		this.ownerByPool.clear();
		this.peers.forEach((address, peer) -> peer.pools()
			.forEach((report) -> this.ownerByPool.merge(report.pool(),
					new ReportedOwner(address, report.fencingToken()), ReportedOwner::higherToken)));
	}

	/**
	 * Returns the peer that reports a pool with the highest fencing token.
	 * @param pool the name of the pool
	 * @return the owner, or empty if no peer has reported the pool
	 */
	Optional<ReportedOwner> reportedOwner(String pool) {
		return Optional.ofNullable(this.ownerByPool.get(pool));
	}

	/**
	 * Returns the peers that were lost since the last call, each once per loss.
	 * @param nowMillis the time in milliseconds
	 * @return the addresses of the peers
	 */
	List<HostAddress> pollLostPeers(long nowMillis) {
		return this.peers.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isContacted() && !entry.getValue().lossReported)
			.filter((entry) -> !isReachable(entry.getKey(), nowMillis))
			.map((entry) -> {
				entry.getValue().lossReported = true;
				return entry.getKey();
			})
			.toList();
	}

	/**
	 * Returns whether this host has run long enough to have received a report of each
	 * running peer.
	 * @param nowMillis the time in milliseconds
	 * @return whether a missing report means that a peer is unreachable
	 */
	boolean isDiscoveryComplete(long nowMillis) {
		return nowMillis - this.startedMillis > DISCOVERY_MILLIS;
	}

	/**
	 * A peer that reports to own a pool.
	 *
	 * @param address the peer address of the host
	 * @param fencingToken its fencing token for the pool
	 */
	record ReportedOwner(HostAddress address, long fencingToken) {

		private static ReportedOwner higherToken(ReportedOwner first, ReportedOwner second) {
			return (second.fencingToken > first.fencingToken) ? second : first;
		}

	}

	private static final class Peer {

		private static final long NEVER = Long.MIN_VALUE / 2;

		private MemberRecord member;

		private HostReport report;

		private int intervalMillis = HostReport.SHORT_INTERVAL_MILLIS;

		private long lastContactMillis = NEVER;

		private long contactSinceMillis;

		private boolean lossReported;

		private long missedSinceMillis = NEVER;

		private long lastMissedMillis = NEVER;

		private boolean isContacted() {
			return this.lastContactMillis > NEVER;
		}

		private long timeoutMillis() {
			return PeerTable.timeoutMillis(this.intervalMillis);
		}

		private long suspectMillis() {
			return (long) SUSPECT_REPORT_COUNT * this.intervalMillis + USUAL_REPORT_DELAY_MILLIS;
		}

		private List<PoolReport> pools() {
			return (this.report != null) ? this.report.pools() : List.of();
		}

	}

}
