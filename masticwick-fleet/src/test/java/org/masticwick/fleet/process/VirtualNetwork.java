package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerMessageHandler;

/**
 * A simulated network between hosts. What is sent on a connection arrives in its order; a
 * cut delays it until the path is back, as retransmissions do.
 */
final class VirtualNetwork {

	private static final int MIN_LATENCY_MICROS = 300;

	private static final int LATENCY_SPREAD_MICROS = 1_400;

	/** How long after the end of a cut retransmissions may arrive. */
	private static final int MAX_RETRANSMISSION_MICROS = 200_000;

	private final VirtualTime time;

	private final Random random;

	private final Map<HostAddress, Node> nodes = new HashMap<>();

	private final Map<Path, Long> cutUntilMicros = new HashMap<>();

	private final List<VirtualConnection> connections = new ArrayList<>();

	VirtualNetwork(VirtualTime time, Random random) {
		this.time = time;
		this.random = random;
	}

	VirtualTime time() {
		return this.time;
	}

	Random random() {
		return this.random;
	}

	/**
	 * Adds a process, which replaces an earlier one with its address.
	 * @param identity the identity of the process
	 * @param eventLoop the event loop of the process
	 * @param handler handles the messages of its peers
	 * @return the process
	 */
	Node add(EntryHost identity, VirtualEventLoop eventLoop, PeerMessageHandler handler) {
		Node node = new Node(identity, eventLoop, handler);
		this.nodes.put(identity.peerAddress(), node);
		return node;
	}

	Node find(HostAddress address) {
		return this.nodes.get(address);
	}

	/**
	 * Returns the time that a message takes on a working path.
	 * @return the time in microseconds
	 */
	long latencyMicros() {
		return MIN_LATENCY_MICROS + this.random.nextInt(LATENCY_SPREAD_MICROS);
	}

	/**
	 * Cuts the path from one host to another, in this direction only.
	 * @param from the address of the sender
	 * @param to the address of the receiver
	 * @param millis for how long, in milliseconds
	 */
	void cut(HostAddress from, HostAddress to, long millis) {
		this.cutUntilMicros.merge(new Path(from, to), this.time.nowMicros() + TimeUnit.MILLISECONDS.toMicros(millis),
				Math::max);
	}

	/**
	 * Returns when a message that is sent now arrives.
	 * @param from the address of the sender
	 * @param to the address of the receiver
	 * @return the time in microseconds
	 */
	long arrivalMicros(HostAddress from, HostAddress to) {
		long cutEndMicros = this.cutUntilMicros.getOrDefault(new Path(from, to), 0L);
		return (cutEndMicros > this.time.nowMicros()) ? cutEndMicros + this.random.nextInt(MAX_RETRANSMISSION_MICROS)
				: this.time.nowMicros() + latencyMicros();
	}

	void opened(VirtualConnection connection) {
		this.connections.removeIf(VirtualConnection::isClosed);
		this.connections.add(connection);
	}

	/**
	 * Resets connections from and to a host.
	 * @param address the address of the host
	 * @param share the share of the connections, from 0 to 1
	 */
	void resetConnections(HostAddress address, double share) {
		List.copyOf(this.connections)
			.stream()
			.filter((connection) -> connection.isBetween(address))
			.filter((connection) -> this.random.nextDouble() < share)
			.forEach(VirtualConnection::reset);
	}

	private record Path(HostAddress from, HostAddress to) {
	}

	/**
	 * A process that exchanges messages.
	 *
	 * @param identity its identity
	 * @param eventLoop its event loop
	 * @param handler handles the messages of its peers
	 */
	record Node(EntryHost identity, VirtualEventLoop eventLoop, PeerMessageHandler handler) {

		HostAddress address() {
			return this.identity.peerAddress();
		}

	}

}
