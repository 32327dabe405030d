package org.masticwick.fleet.process;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerException;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerTransport;
import org.masticwick.wire.TrafficCounters;

/**
 * The transport of one host on a simulated network, with one connection to each peer that
 * is opened on first use, and a growing delay after failed attempts.
 */
final class VirtualTransport implements PeerTransport {

	private static final long MIN_BACKOFF_MILLIS = 50;

	private static final int MAX_BACKOFF_DOUBLINGS = 4;

	private final VirtualNetwork network;

	private final VirtualNetwork.Node self;

	private final Map<HostAddress, Link> links = new HashMap<>();

	VirtualTransport(VirtualNetwork network, VirtualNetwork.Node self) {
		this.network = network;
		this.self = self;
	}

	private Link link(HostAddress peer) {
		return this.links.computeIfAbsent(peer, (address) -> new Link());
	}

	@Override
	public HostAddress localAddress() {
		return this.self.address();
	}

	@Override
	public CompletableFuture<PeerMessage> call(HostAddress peer, PeerMessage request) {
		VirtualConnection connection = link(peer).connect(peer);
		return (connection != null) ? connection.call(request)
				: CompletableFuture.failedFuture(new PeerException("The peer is unreachable", null, false));
	}

	@Override
	public void send(HostAddress peer, PeerMessage message) {
		VirtualConnection connection = link(peer).connect(peer);
		if (connection != null) {
			connection.send(message);
		}
	}

	@Override
	public void reconnect(HostAddress peer) {
		VirtualConnection connection = link(peer).connection;
		if (connection != null && connection.isOlderThan(PeerTable.PEER_TIMEOUT_MILLIS)) {
			connection.close(false);
		}
	}

	@Override
	public TrafficCounters traffic() {
		return new TrafficCounters();
	}

	@Override
	public void close() {
	}

	private final class Link {

		private VirtualConnection connection;

		private int failureCount;

		private long retryMicros;

		private VirtualConnection connect(HostAddress peer) {
			if (this.connection != null && !this.connection.isClosed()) {
				return this.connection;
			}
			VirtualNetwork network = VirtualTransport.this.network;
			VirtualNetwork.Node acceptor = network.find(peer);
			if (acceptor == null || network.time().nowMicros() < this.retryMicros) {
				return null;
			}
			this.connection = new VirtualConnection(network, VirtualTransport.this.self, acceptor, this::recordFailure);
			return this.connection;
		}

		private void recordFailure() {
			VirtualNetwork network = VirtualTransport.this.network;
			long maxMicros = TimeUnit.MILLISECONDS.toMicros(MIN_BACKOFF_MILLIS) << Math.min(this.failureCount,
					MAX_BACKOFF_DOUBLINGS);
			this.failureCount++;
			this.retryMicros = network.time().nowMicros() + maxMicros / 2
					+ network.random().nextInt((int) maxMicros / 2);
		}

	}

}
