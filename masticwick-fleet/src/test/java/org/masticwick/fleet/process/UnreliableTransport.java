package org.masticwick.fleet.process;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

import io.netty.channel.EventLoop;

import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerException;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerTransport;
import org.masticwick.wire.TrafficCounters;

/**
 * A transport that loses answers and drops messages as a test tells it to.
 */
final class UnreliableTransport implements PeerTransport {

	private final PeerTransport transport;

	private final EventLoop eventLoop;

	private final Set<CompletableFuture<PeerMessage>> pendingCalls = ConcurrentHashMap.newKeySet();

	private volatile BiPredicate<HostAddress, PeerMessage> dropped = (peer, message) -> false;

	private volatile HostAddress unreachablePeer;

	/**
	 * Creates a transport that loses nothing.
	 * @param transport the transport that delivers
	 * @param eventLoop the event loop of the host, which handles lost answers
	 */
	UnreliableTransport(PeerTransport transport, EventLoop eventLoop) {
		this.transport = transport;
		this.eventLoop = eventLoop;
	}

	/**
	 * Fails the pending calls as a connection does that breaks after the peers have
	 * received them.
	 */
	void losePendingAnswers() {
		List.copyOf(this.pendingCalls)
			.forEach((call) -> this.eventLoop
				.execute(() -> call.completeExceptionally(new PeerException("The connection broke", null, true))));
	}

	/**
	 * Drops messages. A request that is dropped fails as one that may have been sent.
	 * @param messages tells which messages are dropped from now on
	 */
	void drop(Predicate<PeerMessage> messages) {
		this.dropped = (peer, message) -> messages.test(message);
	}

	/**
	 * Drops messages without an answer to one peer.
	 * @param peer the address of the peer
	 * @param messages tells which messages are dropped from now on
	 */
	void drop(HostAddress peer, Predicate<PeerMessage> messages) {
		this.dropped = (address, message) -> address.equals(peer) && messages.test(message);
	}

	/**
	 * Fails calls to one peer before they are sent, as a link does that waits between two
	 * attempts to connect.
	 * @param peer the address of the peer
	 */
	void refuseCalls(HostAddress peer) {
		this.unreachablePeer = peer;
	}

	@Override
	public CompletableFuture<PeerMessage> call(HostAddress peer, PeerMessage request) {
		CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
		this.pendingCalls.add(answer);
		answer.whenComplete((message, error) -> this.pendingCalls.remove(answer));
		if (peer.equals(this.unreachablePeer)) {
			this.eventLoop
				.execute(() -> answer.completeExceptionally(new PeerException("Peer is unreachable", null, false)));
			return answer;
		}
		if (this.dropped.test(peer, request)) {
			this.eventLoop
				.execute(() -> answer.completeExceptionally(new PeerException("The connection broke", null, true)));
			return answer;
		}
		this.transport.call(peer, request).whenComplete((message, error) -> {
			if (error != null) {
				answer.completeExceptionally(error);
			}
			else {
				answer.complete(message);
			}
		});
		return answer;
	}

	@Override
	public void send(HostAddress peer, PeerMessage message) {
		if (!this.dropped.test(peer, message)) {
			this.transport.send(peer, message);
		}
	}

	@Override
	public void reconnect(HostAddress peer) {
		this.transport.reconnect(peer);
	}

	@Override
	public HostAddress localAddress() {
		return this.transport.localAddress();
	}

	@Override
	public TrafficCounters traffic() {
		return this.transport.traffic();
	}

	@Override
	public void close() {
		this.transport.close();
	}

}
