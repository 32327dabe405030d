package org.masticwick.fleet.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.masticwick.core.pool.PoolReport;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.wire.PeerMessage;

/**
 * What this host knows of the other entry hosts.
 */
final class PeerTable {

	/**
	 * After how long without a report a peer counts as lost; see docs/design/PLATFORM.md.
	 */
	static final long PEER_TIMEOUT_MILLIS = 500;

	/** After how long without a report a peer is avoided if there is a choice. */
	static final long SUSPECT_MILLIS = 260;

	/** How long a peer may take to connect again before it counts as lost. */
	private static final long RECONNECT_MILLIS = 200;

	/** How long a host that has just started may take to hear those that live. */
	private static final long DISCOVERY_MILLIS = 1_200;

	private final Map<HostAddress, Peer> peers = new HashMap<>();

	private final long startedMillis;

	PeerTable(long nowMillis) {
		this.startedMillis = nowMillis;
	}

	/**
	 * Takes note of a member.
	 * @param member the member
	 * @return whether this address was not known
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
	 * Takes note of the run of a peer's process.
	 * @param address the peer
	 * @param incarnation the run
	 */
	void recordIncarnation(HostAddress address, Incarnation incarnation) {
		Peer peer = this.peers.get(address);
		if (peer != null && peer.member != null && peer.member.incarnation().compareTo(incarnation) < 0) {
			peer.member = new MemberRecord(peer.member.hostName(), peer.member.domain(), address, incarnation,
					peer.member.processorMillicores());
		}
	}

	/**
	 * Returns whether the very process of a member is heard.
	 * @param member the member
	 * @param nowMillis the time in milliseconds
	 * @return whether it is, and was not started again since
	 */
	boolean isReachable(MemberRecord member, long nowMillis) {
		return isReachable(member.peerAddress(), nowMillis) && member(member.peerAddress())
			.filter((peerMember) -> peerMember.incarnation().compareTo(member.incarnation()) <= 0)
			.isPresent();
	}

	Collection<HostAddress> addresses() {
		return List.copyOf(this.peers.keySet());
	}

	void recordReport(HostAddress from, PeerMessage.HostReport report, long nowMillis) {
		Peer peer = this.peers.computeIfAbsent(from, (address) -> new Peer());
		peer.report = report;
		if (nowMillis - peer.lastContactMillis > PEER_TIMEOUT_MILLIS) {
			peer.contactSinceMillis = nowMillis;
		}
		peer.lastContactMillis = nowMillis;
		peer.lossReported = false;
	}

	/**
	 * Takes note that a connection to a peer was closed: it has to come back soon.
	 * @param address the peer
	 * @param nowMillis the time in milliseconds
	 */
	void recordDisconnection(HostAddress address, long nowMillis) {
		Peer peer = this.peers.get(address);
		if (peer != null) {
			long latestContactMillis = nowMillis - PEER_TIMEOUT_MILLIS + RECONNECT_MILLIS;
			peer.lastContactMillis = Math.min(peer.lastContactMillis, latestContactMillis);
		}
	}

	boolean isReachable(HostAddress address, long nowMillis) {
		return lastContactAgeMillis(address, nowMillis) <= PEER_TIMEOUT_MILLIS;
	}

	long lastContactAgeMillis(HostAddress address, long nowMillis) {
		Peer peer = this.peers.get(address);
		return (peer != null) ? nowMillis - peer.lastContactMillis : Long.MAX_VALUE / 2;
	}

	/**
	 * Returns for how long a peer has been heard without a gap.
	 * @param address the peer
	 * @param nowMillis the time in milliseconds
	 * @return the time in milliseconds, 0 if it is not heard
	 */
	long contactDurationMillis(HostAddress address, long nowMillis) {
		return isReachable(address, nowMillis) ? nowMillis - this.peers.get(address).contactSinceMillis : 0;
	}

	Optional<PeerMessage.HostReport> report(HostAddress address) {
		return Optional.ofNullable(this.peers.get(address)).map((peer) -> peer.report);
	}

	Optional<MemberRecord> member(HostAddress address) {
		return Optional.ofNullable(this.peers.get(address)).map((peer) -> peer.member);
	}

	/**
	 * Returns the members that are heard and stay.
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
	 * Returns all members that are known, heard or not.
	 * @return the members
	 */
	List<MemberRecord> members() {
		return this.peers.values().stream().map((peer) -> peer.member).filter(Objects::nonNull).toList();
	}

	/**
	 * Returns whether there are other members in a failure domain, heard or not.
	 * @param domain the failure domain
	 * @return whether there are
	 */
	boolean hasMembersIn(String domain) {
		return this.peers.values()
			.stream()
			.anyMatch((peer) -> peer.member != null && peer.member.domain().equals(domain));
	}

	/**
	 * Returns whether a peer hears the owner of a pool itself.
	 * @param pool the pool
	 * @param nowMillis the time in milliseconds
	 * @return whether a fresh report says so
	 */
	boolean isOwnerReachableByPeer(String pool, long nowMillis) {
		return this.peers.values()
			.stream()
			.filter((peer) -> peer.report != null && nowMillis - peer.lastContactMillis <= SUSPECT_MILLIS)
			.anyMatch((peer) -> peer.report.poolsWithReachableOwner().contains(pool));
	}

	/**
	 * Returns whether there may be durable jobs.
	 * @return {@code false} if an owner was heard and no peer knows of any
	 */
	boolean mayHaveDurableJobs() {
		List<PeerMessage.HostReport> reports = this.peers.values()
			.stream()
			.map((peer) -> peer.report)
			.filter(Objects::nonNull)
			.toList();
		return reports.stream().allMatch((report) -> report.pools().isEmpty())
				|| reports.stream().anyMatch(PeerMessage.HostReport::hasSeenDurableJobs);
	}

	/**
	 * Returns the newest report on a pool and who sent it.
	 * @param pool the pool
	 * @return the report with the highest token
	 */
	Optional<OwnerReport> highestTokenReport(String pool) {
		OwnerReport highest = null;
		for (Map.Entry<HostAddress, Peer> entry : this.peers.entrySet()) {
			for (PoolReport report : entry.getValue().pools()) {
				if (report.pool().equals(pool)
						&& (highest == null || report.fencingToken() > highest.report().fencingToken())) {
					highest = new OwnerReport(entry.getKey(), report);
				}
			}
		}
		return Optional.ofNullable(highest);
	}

	/**
	 * Returns the peers that have just been lost, each once.
	 * @param nowMillis the time in milliseconds
	 * @return the peers
	 */
	List<HostAddress> pollLostPeers(long nowMillis) {
		return this.peers.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().report != null && !entry.getValue().lossReported)
			.filter((entry) -> !isReachable(entry.getKey(), nowMillis))
			.map((entry) -> {
				entry.getValue().lossReported = true;
				return entry.getKey();
			})
			.toList();
	}

	/**
	 * Returns whether this host has run long enough to have heard those that live.
	 * @param nowMillis the time in milliseconds
	 * @return whether silence means something
	 */
	boolean isDiscoveryComplete(long nowMillis) {
		return nowMillis - this.startedMillis > DISCOVERY_MILLIS;
	}

	/**
	 * A report on a pool and its sender.
	 *
	 * @param owner the sender
	 * @param report the report
	 */
	record OwnerReport(HostAddress owner, PoolReport report) {
	}

	private static final class Peer {

		private MemberRecord member;

		private PeerMessage.HostReport report;

		private long lastContactMillis = Long.MIN_VALUE / 2;

		private long contactSinceMillis;

		private boolean lossReported;

		private List<PoolReport> pools() {
			return (this.report != null) ? this.report.pools() : List.of();
		}

	}

}
