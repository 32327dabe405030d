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
 * Entry hosts whose messages arrive at once, on a clock that the test moves.
 */
final class FakeNetwork implements TimeSource {

	private static final int HELLO_VERSION = 1;

	private final Map<HostAddress, Node> nodes = new TreeMap<>();

	private final Set<String> cutDomains = new HashSet<>();

	private long nowNanos;

	Node start(EntryHost host, HeartbeatSettings settings) {
		Node node = new Node(host, settings);
		this.nodes.put(host.peerAddress(), node);
		return node;
	}

	void stop(Node node) {
		node.service.close();
		this.nodes.remove(node.host.peerAddress());
		this.nodes.values().forEach((other) -> other.open.remove(node.host));
	}

	void cut(String domain) {
		this.cutDomains.add(domain);
	}

	void heal() {
		this.cutDomains.clear();
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

	private boolean isCut(Node from, Node to) {
		boolean sameDomain = from.host.domain().equals(to.host.domain());
		return !sameDomain
				&& (this.cutDomains.contains(from.host.domain()) || this.cutDomains.contains(to.host.domain()));
	}

	/**
	 * Entry host in the fake network.
	 */
	final class Node implements PeerTransport, PeerListener {

		final EntryHost host;

		final Membership membership;

		final HeartbeatService service;

		final Map<String, Long> sentBytes = new HashMap<>();

		final List<PeerView> lost = new ArrayList<>();

		final List<PeerView> ahead = new ArrayList<>();

		final List<EntryHost> ended = new ArrayList<>();

		PeerStatus status;

		private final Set<EntryHost> open = new HashSet<>();

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
			if (target == null || isCut(this, target)) {
				return;
			}
			if (this.open.add(target.host)) {
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
			this.ahead.add(peer);
		}

		@Override
		public void peerLost(PeerView peer) {
			this.lost.add(peer);
		}

		@Override
		public void peerReplaced(EntryHost endedRun, PeerView successor) {
			this.ended.add(endedRun);
		}

		private PeerMessage.Hello hello(Node node) {
			return new PeerMessage.Hello(node.host, HELLO_VERSION, HELLO_VERSION);
		}

	}

}
