package org.masticwick.wire;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.LongSupplier;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;

/**
 * Entry host on the loopback address that records the messages and disconnects that its
 * transport reports.
 */
final class TestPeer implements PeerMessageHandler, AutoCloseable {

	static final String LOOPBACK = "127.0.0.1";

	final List<PeerMessage> receivedMessages = new CopyOnWriteArrayList<>();

	final List<HostAddress> disconnectedPeers = new CopyOnWriteArrayList<>();

	final AtomicReference<EntryHost> identity = new AtomicReference<>();

	private final NettyPeerTransport transport;

	private final Function<PeerMessage, CompletionStage<PeerMessage>> handler;

	TestPeer(PeerTransportSettings settings, long startEpochMillis,
			Function<PeerMessage, CompletionStage<PeerMessage>> handler) {
		this(settings, startEpochMillis, handler, System::nanoTime);
	}

	TestPeer(PeerTransportSettings settings, long startEpochMillis,
			Function<PeerMessage, CompletionStage<PeerMessage>> handler, LongSupplier nanoClock) {
		this.handler = handler;
		this.transport = NettyPeerTransport.bind(settings, this.identity::get, this, nanoClock);
		this.identity.set(new EntryHost("north", address(), new Incarnation(startEpochMillis, 7)));
	}

	static PeerTransportSettings settings() {
		return PeerTransportSettings.of(LOOPBACK, 0);
	}

	static CompletionStage<PeerMessage> echo(PeerMessage message) {
		return (message instanceof PeerMessage.Forward forward) ? CompletableFuture
			.completedFuture(new PeerMessage.ForwardAnswer(200, "text/plain", forward.body(), -1)) : null;
	}

	static PeerMessage.Forward forward(int bodyBytes) {
		return new PeerMessage.Forward(PeerMessage.ForwardOperation.SUBMIT, "ticket", new byte[bodyBytes], 1_000);
	}

	HostAddress address() {
		return this.transport.localAddress();
	}

	NettyPeerTransport transport() {
		return this.transport;
	}

	boolean hasReceived(Class<? extends PeerMessage> type) {
		return this.receivedMessages.stream().anyMatch(type::isInstance);
	}

	@Override
	public void close() {
		this.transport.close();
	}

	@Override
	public CompletionStage<PeerMessage> handle(PeerMessage message, HostAddress sender) {
		this.receivedMessages.add(message);
		return this.handler.apply(message);
	}

	@Override
	public void disconnected(HostAddress peer) {
		this.disconnectedPeers.add(peer);
	}

}
