package org.masticwick.wire.internal;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;

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

	private static final String UNKNOWN_TYPE = "Unknown";

	private final ConnectionContext context;

	private final Channel channel;

	private final MessageWriter writer;

	private final PendingCalls pendingCalls;

	private final AtomicInteger handledCount = new AtomicInteger();

	private final boolean opener;

	private volatile HostAddress peerAddress;

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
		try {
			checkWritable();
			long id = this.pendingCalls.add(answer);
			writeRequest(id, request);
		}
		catch (PeerException ex) {
			answer.completeExceptionally(ex);
		}
		return answer;
	}

	void send(PeerMessage message) {
		if (this.channel.isWritable()) {
			this.writer.write(Role.ONE_WAY, 0, message);
		}
	}

	void close() {
		this.channel.close();
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
		if (this.greeted) {
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
			case REQUEST -> answer(envelope.correlationId(), new PeerMessage.ErrorAnswer(code, type));
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
			this.greeted = true;
			answer(id, hello(self));
			inform(hello);
		}
	}

	private PeerConnection accept(PeerMessage answer) {
		if (!(answer instanceof PeerMessage.Hello hello)) {
			throw new PeerException("Refused by " + this.peerAddress + ": " + answer, null, false);
		}
		if (!ProtocolVersion.isCompatible(hello)) {
			throw new PeerException("Peer " + this.peerAddress + " speaks no known version", null, false);
		}
		this.greeted = true;
		inform(hello);
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
		if (envelope.role() == Role.ONE_WAY) {
			inform(envelope.message());
			return;
		}
		if (this.handledCount.incrementAndGet() > this.context.settings().maxPendingCallCount()) {
			this.handledCount.decrementAndGet();
			answer(envelope.correlationId(), new PeerMessage.ErrorAnswer(PeerErrorCodes.BUSY, "Too many requests"));
			return;
		}
		handlerAnswer(envelope.message())
			.whenComplete((answer, error) -> answer(envelope.correlationId(), answer, error));
	}

	private void inform(PeerMessage message) {
		handlerAnswer(message).whenComplete((answer, error) -> {
			if (error != null) {
				logger.warn("Handling a message of {} failed", this.peerAddress, error);
			}
		});
	}

	private CompletionStage<PeerMessage> handlerAnswer(PeerMessage request) {
		try {
			CompletionStage<PeerMessage> answer = this.context.handler().handle(request, this.peerAddress);
			return (answer != null) ? answer : CompletableFuture.completedFuture(null);
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private void answer(long id, PeerMessage answer, Throwable error) {
		this.handledCount.decrementAndGet();
		if (error != null) {
			logger.warn("Handling a request of {} failed", this.peerAddress, error);
			answer(id, new PeerMessage.ErrorAnswer(PeerErrorCodes.INTERNAL, error.toString()));
		}
		else if (answer == null) {
			answer(id, new PeerMessage.ErrorAnswer(PeerErrorCodes.UNKNOWN_MESSAGE, "No answer"));
		}
		else {
			answer(id, answer);
		}
	}

	private void answer(long id, PeerMessage answer) {
		try {
			this.writer.write(Role.ANSWER, id, answer);
		}
		catch (RuntimeException ex) {
			logger.warn("Answer to {} not sent", this.peerAddress, ex);
			this.writer.write(Role.ANSWER, id, new PeerMessage.ErrorAnswer(PeerErrorCodes.INTERNAL, ex.toString()));
		}
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
