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
	static final long SILENCE_LIMIT_MILLIS = 500;

	/** After how long without a report a peer is avoided if there is a choice. */
	static final long DOUBT_MILLIS = 260;

	/** How long a peer may take to connect again before it counts as lost. */
	private static final long RECONNECT_MILLIS = 200;

	/** How long a host that has just started may take to hear those that live. */
	private static final long SETTLE_MILLIS = 1_200;

	private final Map<HostAddress, Peer> peers = new HashMap<>();

	private final long beganMillis;

	PeerTable(long nowMillis) {
		this.beganMillis = nowMillis;
	}

	/**
	 * Takes note of a member.
	 * @param member the member
	 * @return whether this address was not known
	 */
	boolean add(MemberRecord member) {
		Peer peer = this.peers.computeIfAbsent(member.peerAddress(), (address) -> new Peer());
		boolean unknown = peer.member == null;
		if (unknown || peer.member.incarnation().compareTo(member.incarnation()) < 0) {
			peer.member = member;
		}
		return unknown;
	}

	/**
	 * Takes note of the run of a peer's process.
	 * @param address the peer
	 * @param incarnation the run
	 */
	void greeted(HostAddress address, Incarnation incarnation) {
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
	boolean isHeard(MemberRecord member, long nowMillis) {
		return isHeard(member.peerAddress(), nowMillis) && member(member.peerAddress())
			.filter((known) -> known.incarnation().compareTo(member.incarnation()) <= 0)
			.isPresent();
	}

	Collection<HostAddress> addresses() {
		return List.copyOf(this.peers.keySet());
	}

	void reported(HostAddress from, PeerMessage.HostReport report, long nowMillis) {
		Peer peer = this.peers.computeIfAbsent(from, (address) -> new Peer());
		peer.report = report;
		if (nowMillis - peer.heardMillis > SILENCE_LIMIT_MILLIS) {
			peer.heardSinceMillis = nowMillis;
		}
		peer.heardMillis = nowMillis;
		peer.lostHandled = false;
	}

	/**
	 * Takes note that a connection to a peer was closed: it has to come back soon.
	 * @param address the peer
	 * @param nowMillis the time in milliseconds
	 */
	void disconnected(HostAddress address, long nowMillis) {
		Peer peer = this.peers.get(address);
		if (peer != null) {
			long latestMillis = nowMillis - SILENCE_LIMIT_MILLIS + RECONNECT_MILLIS;
			peer.heardMillis = Math.min(peer.heardMillis, latestMillis);
		}
	}

	boolean isHeard(HostAddress address, long nowMillis) {
		return ageMillis(address, nowMillis) <= SILENCE_LIMIT_MILLIS;
	}

	long ageMillis(HostAddress address, long nowMillis) {
		Peer peer = this.peers.get(address);
		return (peer != null) ? nowMillis - peer.heardMillis : Long.MAX_VALUE / 2;
	}

	/**
	 * Returns for how long a peer has been heard without a gap.
	 * @param address the peer
	 * @param nowMillis the time in milliseconds
	 * @return the time in milliseconds, 0 if it is not heard
	 */
	long heardForMillis(HostAddress address, long nowMillis) {
		return isHeard(address, nowMillis) ? nowMillis - this.peers.get(address).heardSinceMillis : 0;
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
	List<MemberRecord> heard(long nowMillis) {
		return this.peers.entrySet()
			.stream()
			.filter((entry) -> isHeard(entry.getKey(), nowMillis))
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
	boolean someoneHearsOwner(String pool, long nowMillis) {
		return this.peers.values()
			.stream()
			.filter((peer) -> peer.report != null && nowMillis - peer.heardMillis <= DOUBT_MILLIS)
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
	Optional<OwnerReport> ownerOf(String pool) {
		OwnerReport newest = null;
		for (Map.Entry<HostAddress, Peer> entry : this.peers.entrySet()) {
			for (PoolReport report : entry.getValue().pools()) {
				if (report.pool().equals(pool)
						&& (newest == null || report.fencingToken() > newest.report().fencingToken())) {
					newest = new OwnerReport(entry.getKey(), report);
				}
			}
		}
		return Optional.ofNullable(newest);
	}

	/**
	 * Returns the peers that have just been lost, each once.
	 * @param nowMillis the time in milliseconds
	 * @return the peers
	 */
	List<HostAddress> takeLost(long nowMillis) {
		return this.peers.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().report != null && !entry.getValue().lostHandled)
			.filter((entry) -> !isHeard(entry.getKey(), nowMillis))
			.map((entry) -> {
				entry.getValue().lostHandled = true;
				return entry.getKey();
			})
			.toList();
	}

	/**
	 * Returns whether this host has run long enough to have heard those that live.
	 * @param nowMillis the time in milliseconds
	 * @return whether silence means something
	 */
	boolean isSettled(long nowMillis) {
		return nowMillis - this.beganMillis > SETTLE_MILLIS;
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

		private long heardMillis = Long.MIN_VALUE / 2;

		private long heardSinceMillis;

		private boolean lostHandled;

		private List<PoolReport> pools() {
			return (this.report != null) ? this.report.pools() : List.of();
		}

	}

}
