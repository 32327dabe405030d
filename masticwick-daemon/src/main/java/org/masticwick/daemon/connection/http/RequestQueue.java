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
 * Passes on one request at a time, so that the answers of a connection keep the order of
 * its requests. While one waits, the connection is not read.
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
	 * Sets what is told when a request has arrived as a whole.
	 * @param listener the listener
	 */
	void onRequestComplete(Runnable listener) {
		this.completionListener = listener;
	}

	/**
	 * Tells whether what still arrives is thrown away.
	 * @return {@code true} once a request was refused that leaves the connection
	 * unreadable
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
	 * Counts bytes of a body as held until its request is answered.
	 * @param bytes how many
	 * @return {@code false} if all connections together hold too many
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
	 * Refuses the request that is arriving, after those that came before it.
	 * @param rejection the refusal
	 */
	void reject(Rejection rejection) {
		if (!this.discardingInput) {
			this.completionListener.run();
			enqueue(rejection);
		}
	}

	/**
	 * Closes the connection once all requests have their answers.
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
	 * Lets the other side read the answer: closing at once, with bytes of the request
	 * unread, would reset the connection.
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
		logger.atDebug().addKeyValue("remote", ctx.channel().remoteAddress()).setCause(cause).log("Connection broken");
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
