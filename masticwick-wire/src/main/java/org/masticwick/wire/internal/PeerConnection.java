package org.masticwick.wire.internal;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
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
 * Sends and receives messages on one connection, whichever side opened it.
 */
final class PeerConnection extends SimpleChannelInboundHandler<ByteBuf> {

	private static final Logger logger = LoggerFactory.getLogger(PeerConnection.class);

	private static final long RETIRE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final String UNKNOWN_TYPE = "Unknown";

	private final ConnectionContext context;

	private final Channel channel;

	private final MessageWriter writer;

	private final PendingCalls pendingCalls;

	private final RequestResponder responder;

	private final boolean opener;

	private volatile HostAddress peerAddress;

	private volatile EntryHost peer;

	private volatile long usedNanos = System.nanoTime();

	private volatile boolean greeted;

	private volatile boolean closed;

	/**
	 * Creates a connection.
	 * @param context what all connections share
	 * @param channel the channel
	 * @param target the address that this host connected to, or {@code null} if the peer
	 * opened the connection
	 */
	PeerConnection(ConnectionContext context, Channel channel, HostAddress target) {
		this.context = context;
		this.channel = channel;
		this.writer = new MessageWriter(channel, context.traffic());
		this.responder = new RequestResponder(context, this.writer);
		this.pendingCalls = new PendingCalls(context.settings().maxPendingCallCount());
		this.opener = target != null;
		this.peerAddress = target;
	}

	boolean isOpen() {
		return this.channel.isActive() && !this.closed;
	}

	/**
	 * Introduces this host to the peer.
	 * @return ends when the peer has accepted; fails with {@link PeerException}
	 */
	CompletableFuture<PeerConnection> greet() {
		EntryHost self = this.context.identity().get();
		if (self == null) {
			return CompletableFuture.failedFuture(new PeerException("This host has no identity yet", null, false));
		}
		return call(hello(self)).thenApply(this::accept);
	}

	CompletableFuture<PeerMessage> call(PeerMessage request) {
		CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
		this.usedNanos = System.nanoTime();
		try {
			checkWritable();
			long id = this.pendingCalls.add(answer);
			if (this.closed) {
				this.pendingCalls.fail(id, new PeerException("The connection was closed", null, false));
			}
			else {
				writeRequest(id, request);
			}
		}
		catch (PeerException ex) {
			answer.completeExceptionally(ex);
		}
		return answer;
	}

	void send(PeerMessage message) {
		this.usedNanos = System.nanoTime();
		if (this.channel.isWritable()) {
			this.writer.write(Role.ONE_WAY, 0, message);
		}
	}

	void close() {
		this.channel.close();
	}

	/**
	 * Closes the connection if this host opened it and has not used it for long.
	 */
	void retireIfUnused() {
		boolean unused = System.nanoTime() - this.usedNanos > RETIRE_AFTER_NANOS;
		if (!this.opener || !unused || !this.pendingCalls.isEmpty()) {
			return;
		}
		this.closed = true;
		if (this.pendingCalls.isEmpty()) {
			this.greeted = false;
			this.channel.close();
		}
		else {
			this.closed = false;
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
		int frameBytes = FrameDecoder.HEADER_BYTES + frame.readableBytes();
		Envelope envelope = MessageCodec.decode(ByteBufUtil.getBytes(frame));
		String type = MessageKind.ofNumber(envelope.kindNumber()).map(MessageKind::typeName).orElse(UNKNOWN_TYPE);
		this.context.traffic().received(type, frameBytes);
		if (envelope.problem() != null) {
			passOver(envelope, type);
		}
		else {
			dispatch(envelope);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.closed = true;
		this.pendingCalls.failAll(lost(null));
		if (this.opener && this.greeted) {
			this.context.handler().disconnected(this.peerAddress);
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		this.channel.config().setAutoRead(this.opener || this.channel.isWritable());
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		logger.debug("Closing the connection with {}: {}", this.peerAddress, cause.toString());
		ctx.close();
	}

	private void writeRequest(long id, PeerMessage request) {
		try {
			ChannelFuture written = this.writer.write(Role.REQUEST, id, request);
			written.addListener((future) -> failUnlessWritten(id, written));
		}
		catch (RuntimeException ex) {
			this.pendingCalls.fail(id, notSent(ex));
		}
		if (this.closed) {
			this.pendingCalls.fail(id, lost(null));
		}
	}

	private void failUnlessWritten(long id, ChannelFuture written) {
		if (!written.isSuccess()) {
			this.pendingCalls.fail(id, lost(written.cause()));
		}
	}

	private void checkWritable() {
		if (!isOpen()) {
			throw new PeerException("The connection with " + this.peerAddress + " is closed", null, false);
		}
		if (!this.channel.isWritable()) {
			throw new PeerException("The buffer towards " + this.peerAddress + " is full", null, false);
		}
	}

	private void passOver(Envelope envelope, String type) {
		logger.debug("Message {} of {} not read: {}", type, this.peerAddress, envelope.problem());
		String code = (envelope.problem() == Problem.UNKNOWN_KIND) ? PeerErrorCodes.UNKNOWN_MESSAGE
				: PeerErrorCodes.MALFORMED_MESSAGE;
		switch (envelope.role()) {
			case REQUEST -> this.responder.answer(envelope.correlationId(), new PeerMessage.ErrorAnswer(code, type));
			case ANSWER -> this.pendingCalls.fail(envelope.correlationId(),
					new PeerException("The answer of " + this.peerAddress + " could not be read", null, true));
			case ONE_WAY -> {
			}
		}
	}

	private void dispatch(Envelope envelope) {
		if (envelope.role() == Role.ANSWER) {
			this.pendingCalls.complete(envelope.correlationId(), envelope.message());
		}
		else if (envelope.message() instanceof PeerMessage.Hello hello) {
			welcome(envelope.correlationId(), hello);
		}
		else if (envelope.message() instanceof PeerMessage.Ping) {
			this.writer.write(Role.ONE_WAY, 0, new PeerMessage.Pong());
		}
		else if (!(envelope.message() instanceof PeerMessage.Pong)) {
			handle(envelope);
		}
	}

	private void welcome(long id, PeerMessage.Hello hello) {
		EntryHost self = this.context.identity().get();
		if (self == null) {
			refuse(id, PeerErrorCodes.STARTING, "The host has no identity yet");
		}
		else if (!ProtocolVersion.isCompatible(hello)) {
			refuse(id, PeerErrorCodes.INCOMPATIBLE_PROTOCOL,
					"Versions " + ProtocolVersion.OLDEST + " to " + ProtocolVersion.CURRENT + " are spoken here");
		}
		else {
			this.peerAddress = hello.sender().peerAddress();
			this.peer = hello.sender();
			this.greeted = true;
			this.responder.answer(id, hello(self));
			this.responder.inform(hello, this.peerAddress);
		}
	}

	private PeerConnection accept(PeerMessage answer) {
		if (!(answer instanceof PeerMessage.Hello hello)) {
			throw new PeerException("Refused by " + this.peerAddress + ": " + answer, null, false);
		}
		if (!ProtocolVersion.isCompatible(hello)) {
			throw new PeerException("Peer " + this.peerAddress + " speaks no known version", null, false);
		}
		this.peer = hello.sender();
		this.greeted = true;
		this.responder.inform(hello, this.peerAddress);
		return this;
	}

	private void refuse(long id, String code, String reason) {
		logger.info("Refusing the peer at {}: {}", this.channel.remoteAddress(), reason);
		this.writer.write(Role.ANSWER, id, new PeerMessage.ErrorAnswer(code, reason))
			.addListener(ChannelFutureListener.CLOSE);
	}

	private void handle(Envelope envelope) {
		if (this.peerAddress == null) {
			throw new PeerException("Message before Hello", null, false);
		}
		this.responder.handle(withSender(envelope), this.peerAddress);
	}

	private Envelope withSender(Envelope envelope) {
		if (envelope.message() instanceof PeerMessage.Heartbeat heartbeat) {
			return Envelope.of(envelope.role(), envelope.correlationId(), new PeerMessage.Heartbeat(this.peer,
					heartbeat.sequence(), heartbeat.loadComplete(), heartbeat.status()));
		}
		return envelope;
	}

	private PeerException lost(Throwable cause) {
		return new PeerException("The connection with " + this.peerAddress + " was lost", cause, true);
	}

	private static PeerException notSent(RuntimeException cause) {
		return (cause instanceof PeerException error) ? error : new PeerException(cause.getMessage(), cause, false);
	}

	private static PeerMessage.Hello hello(EntryHost self) {
		return new PeerMessage.Hello(self, ProtocolVersion.CURRENT, ProtocolVersion.OLDEST);
	}

}
