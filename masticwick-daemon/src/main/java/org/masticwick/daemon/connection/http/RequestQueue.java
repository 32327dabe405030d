package org.masticwick.daemon.connection.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Forwards the requests of a connection one at a time, so that its responses keep the
 * order of its requests. While a request waits in the queue, the connection is not read.
 */
final class RequestQueue extends ChannelDuplexHandler {

	private static final Logger logger = LoggerFactory.getLogger(RequestQueue.class);

	private static final long CLOSE_DELAY_MILLIS = 1_000;

	private final ProblemBodyWriter problemBodyWriter;

	private final Deque<Object> waiting = new ArrayDeque<>();

	private Runnable completionListener = () -> {
	};

	private ChannelHandlerContext context;

	private final BodyBudget budget;

	private long reservedBytes;

	private long forwardedBytes;

	private boolean awaitingAnswer;

	private boolean discardingInput;

	private boolean inputEnded;

	RequestQueue(ProblemBodyWriter problemBodyWriter, BodyBudget budget) {
		this.problemBodyWriter = problemBodyWriter;
		this.budget = budget;
	}

	/**
	 * Sets the listener that is called when a request was received completely or is
	 * rejected.
	 * @param listener the listener
	 */
	void onRequestComplete(Runnable listener) {
		this.completionListener = listener;
	}

	/**
	 * Returns whether further input of the connection is discarded.
	 * @return {@code true} after a rejection that closes the connection, or once the
	 * connection is closed
	 */
	boolean discardingInput() {
		return this.discardingInput;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object msg) {
		if (this.discardingInput) {
			ReferenceCountUtil.release(msg);
			return;
		}
		this.completionListener.run();
		Optional<Rejection> rejection = check(msg);
		rejection.ifPresent((found) -> discard(msg));
		enqueue(rejection.map(Object.class::cast).orElse(msg));
	}

	/**
	 * Reserves bytes of a request body in the server's budget until the request is
	 * answered.
	 * @param bytes the number of bytes
	 * @return {@code false} if the budget is exhausted; then nothing is reserved
	 */
	boolean reserveBody(int bytes) {
		if (!this.budget.tryReserve(bytes)) {
			return false;
		}
		this.reservedBytes += bytes;
		return true;
	}

	private void releaseBody(long bytes) {
		long releasedBytes = Math.min(bytes, this.reservedBytes);
		this.reservedBytes -= releasedBytes;
		this.budget.release(releasedBytes);
	}

	private void discard(Object msg) {
		if (msg instanceof FullHttpRequest request) {
			releaseBody(request.content().readableBytes());
		}
		ReferenceCountUtil.release(msg);
	}

	private static Optional<Rejection> check(Object msg) {
		return (msg instanceof FullHttpRequest request) ? RequestCheck.check(request) : Optional.empty();
	}

	/**
	 * Rejects the request that is being received, after the responses to all requests
	 * before it. Ignored if input is discarded already.
	 * @param rejection the rejection
	 */
	void reject(Rejection rejection) {
		if (!this.discardingInput) {
			this.completionListener.run();
			enqueue(rejection);
		}
	}

	/**
	 * Records that the client sends no more, and closes the connection once all its
	 * requests are answered.
	 */
	void endOfInput() {
		this.inputEnded = true;
		processNext();
	}

	private void enqueue(Object item) {
		if (item instanceof Rejection rejection && rejection.closesConnection()) {
			this.discardingInput = true;
		}
		this.waiting.add(item);
		processNext();
	}

	private void processNext() {
		Object item = this.awaitingAnswer ? null : this.waiting.poll();
		updateAutoRead();
		if (item instanceof Rejection rejection) {
			sendRejection(rejection);
		}
		else if (item instanceof FullHttpRequest request) {
			forward(request);
		}
		else if (this.inputEnded && !this.awaitingAnswer && !this.discardingInput) {
			this.context.close();
		}
	}

	private void updateAutoRead() {
		Channel channel = this.context.channel();
		boolean readWanted = this.waiting.isEmpty() || this.discardingInput;
		if (channel.config().isAutoRead() != readWanted) {
			channel.config().setAutoRead(readWanted);
		}
	}

	private void forward(FullHttpRequest request) {
		this.awaitingAnswer = true;
		this.forwardedBytes = request.content().readableBytes();
		HttpRequest head = new DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(),
				request.headers());
		this.context.fireChannelRead(head);
		if (request.content().isReadable()) {
			this.context.fireChannelRead(new DefaultLastHttpContent(request.content()));
		}
		else {
			request.release();
		}
		this.context.fireChannelReadComplete();
	}

	private void sendRejection(Rejection rejection) {
		this.awaitingAnswer = true;
		ChannelPromise written = this.context.newPromise();
		write(this.context, rejection.response(this.problemBodyWriter), written);
		this.context.flush();
		if (rejection.closesConnection()) {
			written.addListener((done) -> closeAfterDelay());
		}
	}

	/**
	 * Closes the connection after a delay in which the client can read the response.
	 * Closing at once, with bytes of the request unread, would reset the connection, and
	 * the client might lose the response.
	 */
	private void closeAfterDelay() {
		((DuplexChannel) this.context.channel()).shutdownOutput();
		if (this.inputEnded) {
			this.context.close();
			return;
		}
		this.context.executor().schedule(() -> this.context.close(), CLOSE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
		ctx.write(msg, promise);
		if (msg instanceof LastHttpContent) {
			ctx.executor().execute(this::onAnswerWritten);
		}
	}

	private void onAnswerWritten() {
		this.awaitingAnswer = false;
		releaseBody(this.forwardedBytes);
		this.forwardedBytes = 0;
		processNext();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		logger.atDebug()
			.addKeyValue("remote", ctx.channel().remoteAddress())
			.setCause(cause)
			.log("The connection of an HTTP client failed; closing it");
		ctx.close();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.waiting.forEach(ReferenceCountUtil::release);
		this.waiting.clear();
		releaseBody(this.reservedBytes);
		this.discardingInput = true;
		ctx.fireChannelInactive();
	}

}
