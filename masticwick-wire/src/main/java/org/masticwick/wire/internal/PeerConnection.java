package org.masticwick.wire.internal;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerErrorCodes;
import org.masticwick.wire.PeerException;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.ProtocolVersion;
import org.masticwick.wire.internal.Envelope.Problem;
import org.masticwick.wire.internal.Envelope.Role;

/**
 * Connection with one peer, opened by either side. Sends messages, matches answers to
 * their calls, and passes received messages to the handler.
 */
final class PeerConnection extends SimpleChannelInboundHandler<ByteBuf> {

	private static final Logger logger = LoggerFactory.getLogger(PeerConnection.class);

	/**
	 * How long a connection that this host opened may remain unused before it is closed.
	 */
	private static final long MAX_UNUSED_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** Type under which received messages of unknown kinds are counted. */
	private static final String UNKNOWN_TYPE_NAME = "Unknown";

	private final ConnectionContext context;

	private final Channel channel;

	private final MessageWriter writer;

	private final PendingCalls pendingCalls;

	private final RequestResponder responder;

	private final boolean openedByThisHost;

	private final long createdNanos = System.nanoTime();

	private volatile HostAddress peerAddress;

	private volatile EntryHost peerHost;

	private volatile long lastUsedNanos = System.nanoTime();

	private volatile boolean handshakeCompleted;

	private volatile boolean closed;

	/**
	 * Creates a connection for a channel.
	 * @param context the objects that all connections share
	 * @param channel the channel
	 * @param targetAddress the address that this host connected to, or {@code null} if
	 * the peer opened the connection
	 */
	PeerConnection(ConnectionContext context, Channel channel, HostAddress targetAddress) {
		this.context = context;
		this.channel = channel;
		this.writer = new MessageWriter(channel, context.traffic());
		this.responder = new RequestResponder(context, this.writer);
		this.pendingCalls = new PendingCalls(context.settings().maxPendingCallCount());
		this.openedByThisHost = targetAddress != null;
		this.peerAddress = targetAddress;
	}

	boolean isOpen() {
		return this.channel.isActive() && !this.closed;
	}

	boolean isOlderThan(long ageMillis) {
		return System.nanoTime() - this.createdNanos > TimeUnit.MILLISECONDS.toNanos(ageMillis);
	}

	boolean isOpenedByThisHost() {
		return this.openedByThisHost;
	}

	boolean hasPendingCalls() {
		return !this.pendingCalls.isEmpty();
	}

	/**
	 * Sends the identity and protocol versions of this host to the peer.
	 * @return completes with this connection when the peer has accepted; fails with
	 * {@link PeerException}
	 */
	CompletableFuture<PeerConnection> handshake() {
		EntryHost localHost = this.context.identity().get();
		if (localHost == null) {
			return CompletableFuture
				.failedFuture(new PeerException("This host has not determined its identity yet", null, false));
		}
		return call(helloMessage(localHost)).thenApply(this::completeHandshake);
	}

	CompletableFuture<PeerMessage> call(PeerMessage request) {
		CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
		this.lastUsedNanos = System.nanoTime();
		try {
			checkWritable();
			long correlationId = this.pendingCalls.add(answer);
			if (this.closed) {
				this.pendingCalls.fail(correlationId,
						new PeerException("The connection was closed before the request was sent", null, false));
			}
			else {
				writeRequest(correlationId, request);
			}
		}
		catch (PeerException ex) {
			answer.completeExceptionally(ex);
		}
		return answer;
	}

	void send(PeerMessage message) {
		this.lastUsedNanos = System.nanoTime();
		if (this.channel.isWritable()) {
			this.writer.write(Role.ONE_WAY, 0, message);
		}
	}

	void close() {
		this.channel.close();
	}

	/**
	 * Closes the connection and discards what the peer has not received. Otherwise the
	 * operating system would go on to deliver requests whose calls have failed.
	 */
	void abort() {
		this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		this.channel.close();
	}

	/**
	 * Closes the connection if this host opened it, has not used it for
	 * {@link #MAX_UNUSED_NANOS}, and has no pending calls on it.
	 */
	void closeIfUnused() {
		boolean longUnused = System.nanoTime() - this.lastUsedNanos > MAX_UNUSED_NANOS;
		if (!this.openedByThisHost || !longUnused || !this.pendingCalls.isEmpty()) {
			return;
		}
		this.closed = true;
		// A call may have been added between the check above and this point.
		if (this.pendingCalls.isEmpty()) {
			closeSilently();
		}
		else {
			this.closed = false;
		}
	}

	/**
	 * Closes the connection without notifying the handler, as this host causes it.
	 */
	void closeSilently() {
		this.handshakeCompleted = false;
		abort();
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
		int frameBytes = FrameDecoder.HEADER_BYTES + frame.readableBytes();
		Envelope envelope = MessageCodec.decode(ByteBufUtil.getBytes(frame));
		String type = MessageKind.ofNumber(envelope.kindNumber()).map(MessageKind::typeName).orElse(UNKNOWN_TYPE_NAME);
		this.context.traffic().received(type, frameBytes);
		if (envelope.problem() != null) {
			rejectUnreadable(envelope, type);
		}
		else {
			dispatch(envelope);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.closed = true;
		this.pendingCalls.failAll(connectionLost(null));
		if (this.openedByThisHost && this.handshakeCompleted) {
			this.context.handler().disconnected(this.peerAddress);
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		// Stops reading requests while their answers can't be written.
		this.channel.config().setAutoRead(this.openedByThisHost || this.channel.isWritable());
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		logger.debug("Closing the connection with peer {} after an error: {}", this.peerAddress, cause.toString());
		ctx.close();
	}

	private void writeRequest(long correlationId, PeerMessage request) {
		try {
			ChannelFuture writeFuture = this.writer.write(Role.REQUEST, correlationId, request);
			writeFuture.addListener((future) -> failIfNotWritten(correlationId, writeFuture));
		}
		catch (RuntimeException ex) {
			this.pendingCalls.fail(correlationId, toNotSentException(ex));
		}
		if (this.closed) {
			this.pendingCalls.fail(correlationId, connectionLost(null));
		}
	}

	private void failIfNotWritten(long correlationId, ChannelFuture writeFuture) {
		if (!writeFuture.isSuccess()) {
			this.pendingCalls.fail(correlationId, connectionLost(writeFuture.cause()));
		}
	}

	private void checkWritable() {
		if (!isOpen()) {
			throw new PeerException("The connection with peer " + this.peerAddress + " is closed", null, false);
		}
		if (!this.channel.isWritable()) {
			throw new PeerException("The outbound buffer to peer " + this.peerAddress + " is full", null, false);
		}
	}

	private void rejectUnreadable(Envelope envelope, String type) {
		logger.debug("Could not decode a message of type {} from peer {}: {}", type, this.peerAddress,
				envelope.problem());
		String code = (envelope.problem() == Problem.UNKNOWN_KIND) ? PeerErrorCodes.UNKNOWN_MESSAGE
				: PeerErrorCodes.MALFORMED_MESSAGE;
		switch (envelope.role()) {
			case REQUEST ->
				this.responder.writeAnswer(envelope.correlationId(), new PeerMessage.ErrorAnswer(code, type));
			case ANSWER -> this.pendingCalls.fail(envelope.correlationId(),
					new PeerException("The answer of peer " + this.peerAddress + " could not be decoded", null, true));
			case ONE_WAY -> {
			}
		}
	}

	private void dispatch(Envelope envelope) {
		if (envelope.role() == Role.ANSWER) {
			this.pendingCalls.complete(envelope.correlationId(), envelope.message());
		}
		else if (envelope.message() instanceof PeerMessage.Hello hello) {
			acceptHandshake(envelope.correlationId(), hello);
		}
		else if (envelope.message() instanceof PeerMessage.Ping) {
			this.writer.write(Role.ONE_WAY, 0, new PeerMessage.Pong());
		}
		else if (!(envelope.message() instanceof PeerMessage.Pong)) {
			handle(envelope);
		}
	}

	private void acceptHandshake(long correlationId, PeerMessage.Hello hello) {
		EntryHost localHost = this.context.identity().get();
		if (localHost == null) {
			rejectHandshake(correlationId, PeerErrorCodes.STARTING, "The host has no identity yet");
		}
		else if (!ProtocolVersion.isCompatible(hello)) {
			rejectHandshake(correlationId, PeerErrorCodes.INCOMPATIBLE_PROTOCOL,
					"Versions " + ProtocolVersion.OLDEST + " to " + ProtocolVersion.CURRENT + " are spoken here");
		}
		else {
			this.peerAddress = hello.sender().peerAddress();
			this.peerHost = hello.sender();
			this.handshakeCompleted = true;
			this.responder.writeAnswer(correlationId, helloMessage(localHost));
			this.responder.notifyHandler(hello, this.peerAddress);
		}
	}

	private PeerConnection completeHandshake(PeerMessage answer) {
		if (!(answer instanceof PeerMessage.Hello hello)) {
			throw new PeerException("Peer " + this.peerAddress + " refused the handshake: " + answer, null, false);
		}
		if (!ProtocolVersion.isCompatible(hello)) {
			throw new PeerException("Peer " + this.peerAddress + " supports no protocol version of this host", null,
					false);
		}
		this.peerHost = hello.sender();
		this.handshakeCompleted = true;
		this.responder.notifyHandler(hello, this.peerAddress);
		return this;
	}

	private void rejectHandshake(long correlationId, String code, String reason) {
		logger.info("Refusing the handshake of the peer at {} and closing the connection: {}",
				this.channel.remoteAddress(), reason);
		this.writer.write(Role.ANSWER, correlationId, new PeerMessage.ErrorAnswer(code, reason))
			.addListener(ChannelFutureListener.CLOSE);
	}

	private void handle(Envelope envelope) {
		if (this.peerAddress == null) {
			throw new PeerException("Peer sent a message before its Hello", null, false);
		}
		this.responder.handle(withSender(envelope), this.peerAddress);
	}

	private Envelope withSender(Envelope envelope) {
		if (envelope.message() instanceof PeerMessage.Heartbeat heartbeat) {
			return Envelope.of(envelope.role(), envelope.correlationId(), new PeerMessage.Heartbeat(this.peerHost,
					heartbeat.sequence(), heartbeat.loadComplete(), heartbeat.status()));
		}
		return envelope;
	}

	private PeerException connectionLost(Throwable cause) {
		return new PeerException("The connection with peer " + this.peerAddress + " was lost", cause, true);
	}

	private static PeerException toNotSentException(RuntimeException cause) {
		return (cause instanceof PeerException error) ? error : new PeerException(cause.getMessage(), cause, false);
	}

	private static PeerMessage.Hello helloMessage(EntryHost localHost) {
		return new PeerMessage.Hello(localHost, ProtocolVersion.CURRENT, ProtocolVersion.OLDEST);
	}

}
