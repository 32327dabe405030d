package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.IntStream;

import org.masticwick.core.pool.LossHistory;
import org.masticwick.core.pool.TaskLoss;
import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerTransport;

/**
 * Exchanges with the peers under which tasks endpoints were lost, so that any host that
 * becomes the owner of a pool, or gets a job that is submitted again, knows it. The
 * losses of this host's endpoints are sent as they occur; a peer that becomes reachable
 * gets all that this host knows.
 */
final class LossExchange {

	/** Bounds the size of a message when many runs are lost at once. */
	private static final int MAX_LOSSES_PER_MESSAGE = 500;

	private final LossHistory history = new LossHistory();

	private final List<TaskLoss> unsent = new ArrayList<>();

	private PeerTransport transport;

	void transport(PeerTransport peerTransport) {
		this.transport = peerTransport;
	}

	LossHistory history() {
		return this.history;
	}

	/**
	 * Records a loss of an endpoint of this host, to be sent to the peers.
	 * @param loss the loss
	 */
	void record(TaskLoss loss) {
		this.unsent.add(loss);
	}

	/**
	 * Applies what a peer knows.
	 * @param message the losses
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void apply(PeerMessage.TaskLosses message, long nowMillis) {
		message.losses().forEach((loss) -> this.history.add(loss, nowMillis));
	}

	/**
	 * Sends the losses recorded since the last call.
	 * @param peers returns the addresses of the peers; called only if there are losses
	 */
	void flush(Supplier<List<HostAddress>> peers) {
		if (this.unsent.isEmpty()) {
			return;
		}
		List<TaskLoss> losses = List.copyOf(this.unsent);
		this.unsent.clear();
		peers.get().forEach((peer) -> send(peer, losses));
	}

	/**
	 * Sends all known losses to a peer, which may have started just now.
	 * @param peer the address of the peer
	 */
	void sendAll(HostAddress peer) {
		send(peer, this.history.all());
	}

	private void send(HostAddress peer, List<TaskLoss> losses) {
		IntStream.iterate(0, (from) -> from < losses.size(), (from) -> from + MAX_LOSSES_PER_MESSAGE)
			.mapToObj((from) -> losses.subList(from, Math.min(losses.size(), from + MAX_LOSSES_PER_MESSAGE)))
			.forEach((part) -> this.transport.send(peer, new PeerMessage.TaskLosses(part)));
	}

}
