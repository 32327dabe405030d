package org.masticwick.daemon.connection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.masticwick.core.connection.Membership;
import org.masticwick.core.connection.MembershipLimits;
import org.masticwick.core.connection.PeerStatus;
import org.masticwick.core.connection.PeerView;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.TimeSource;
import org.masticwick.wire.MessageSize;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerTransport;
import org.masticwick.wire.TrafficCounters;

/**
 * Network of entry hosts with immediate delivery of messages, on a clock that advances
 * only with the rounds that a test runs. Failure domains can be partitioned from each
 * other.
 */
final class FakeNetwork implements TimeSource {

	private static final int HELLO_VERSION = 1;

	private final Map<HostAddress, Node> nodes = new TreeMap<>();

	private final Set<String> partitionedDomains = new HashSet<>();

	private long nowNanos;

	Node start(EntryHost host, HeartbeatSettings settings) {
		Node node = new Node(host, settings);
		this.nodes.put(host.peerAddress(), node);
		return node;
	}

	void stop(Node node) {
		node.service.close();
		this.nodes.remove(node.host.peerAddress());
		this.nodes.values().forEach((peer) -> peer.connectedHosts.remove(node.host));
	}

	void partition(String domain) {
		this.partitionedDomains.add(domain);
	}

	void heal() {
		this.partitionedDomains.clear();
	}

	void run(int roundCount, long intervalMillis) {
		for (int round = 0; round < roundCount; round++) {
			this.nowNanos += TimeUnit.MILLISECONDS.toNanos(intervalMillis);
			List.copyOf(this.nodes.values()).forEach((node) -> node.service.runRound());
		}
	}

	@Override
	public long nanoTime() {
		return this.nowNanos;
	}

	@Override
	public long epochMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.nowNanos);
	}

	private boolean isPartitioned(Node from, Node to) {
		boolean sameDomain = from.host.domain().equals(to.host.domain());
		return !sameDomain && (this.partitionedDomains.contains(from.host.domain())
				|| this.partitionedDomains.contains(to.host.domain()));
	}

	/**
	 * Entry host in the fake network; records the bytes it sent and the notifications it
	 * received.
	 */
	final class Node implements PeerTransport, PeerListener {

		final EntryHost host;

		final Membership membership;

		final HeartbeatService service;

		final Map<String, Long> sentBytes = new HashMap<>();

		final List<PeerView> lostPeers = new ArrayList<>();

		final List<PeerView> aheadPeers = new ArrayList<>();

		final List<EntryHost> replacedHosts = new ArrayList<>();

		PeerStatus status;

		private final Set<EntryHost> connectedHosts = new HashSet<>();

		private Node(EntryHost host, HeartbeatSettings settings) {
			this.host = host;
			this.status = new PeerStatus(1, 1, "0123456789abcdef", true, false, List.of(), host.peerAddress(),
					PeerStatus.NO_LOAD);
			this.membership = new Membership(host, MembershipLimits.defaults());
			this.service = new HeartbeatService(settings, this, this.membership, () -> this.status, this,
					FakeNetwork.this);
		}

		PeerView view(Node other) {
			return this.membership.peerAt(other.host.peerAddress(), FakeNetwork.this.nowNanos).orElseThrow();
		}

		@Override
		public void send(HostAddress to, PeerMessage message) {
			Node target = FakeNetwork.this.nodes.get(to);
			if (target == null || isPartitioned(this, target)) {
				return;
			}
			if (this.connectedHosts.add(target.host)) {
				target.service.handle(hello(this), this.host.peerAddress());
				this.service.handle(hello(target), target.host.peerAddress());
			}
			this.sentBytes.merge(message.getClass().getSimpleName(), (long) MessageSize.frameBytes(message), Long::sum);
			target.service.handle(message, this.host.peerAddress());
		}

		@Override
		public HostAddress localAddress() {
			return this.host.peerAddress();
		}

		@Override
		public CompletableFuture<PeerMessage> call(HostAddress to, PeerMessage request) {
			throw new UnsupportedOperationException();
		}

		@Override
		public TrafficCounters traffic() {
			throw new UnsupportedOperationException();
		}

		@Override
		public void close() {
		}

		@Override
		public void peerAhead(PeerView peer) {
			this.aheadPeers.add(peer);
		}

		@Override
		public void peerLost(PeerView peer) {
			this.lostPeers.add(peer);
		}

		@Override
		public void peerReplaced(EntryHost replacedHost, PeerView successor) {
			this.replacedHosts.add(replacedHost);
		}

		private PeerMessage.Hello hello(Node node) {
			return new PeerMessage.Hello(node.host, HELLO_VERSION, HELLO_VERSION);
		}

	}

}
