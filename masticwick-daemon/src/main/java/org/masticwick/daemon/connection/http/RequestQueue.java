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

	private static final long LINGER_MILLIS = 1_000;

	private final ProblemBodyWriter problem;

	private final Deque<Object> waiting = new ArrayDeque<>();

	private Runnable onComplete = () -> {
	};

	private ChannelHandlerContext context;

	private final BodyBudget budget;

	private long heldBytes;

	private long passedBytes;

	private boolean answering;

	private boolean refusing;

	private boolean inputEnded;

	RequestQueue(ProblemBodyWriter problem, BodyBudget budget) {
		this.problem = problem;
		this.budget = budget;
	}

	/**
	 * Sets what is told when a request has arrived as a whole.
	 * @param listener the listener
	 */
	void onComplete(Runnable listener) {
		this.onComplete = listener;
	}

	/**
	 * Tells whether what still arrives is thrown away.
	 * @return {@code true} once a request was refused that leaves the connection
	 * unreadable
	 */
	boolean refusing() {
		return this.refusing;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object msg) {
		if (this.refusing) {
			ReferenceCountUtil.release(msg);
			return;
		}
		this.onComplete.run();
		Optional<Rejection> rejection = rejectionOf(msg);
		rejection.ifPresent((found) -> discard(msg));
		take(rejection.map(Object.class::cast).orElse(msg));
	}

	/**
	 * Counts bytes of a body as held until its request is answered.
	 * @param bytes how many
	 * @return {@code false} if all connections together hold too many
	 */
	boolean hold(int bytes) {
		if (!this.budget.take(bytes)) {
			return false;
		}
		this.heldBytes += bytes;
		return true;
	}

	private void letGo(long bytes) {
		long held = Math.min(bytes, this.heldBytes);
		this.heldBytes -= held;
		this.budget.give(held);
	}

	private void discard(Object msg) {
		if (msg instanceof FullHttpRequest request) {
			letGo(request.content().readableBytes());
		}
		ReferenceCountUtil.release(msg);
	}

	private static Optional<Rejection> rejectionOf(Object msg) {
		return (msg instanceof FullHttpRequest request) ? RequestCheck.check(request) : Optional.empty();
	}

	/**
	 * Refuses the request that is arriving, after those that came before it.
	 * @param rejection the refusal
	 */
	void reject(Rejection rejection) {
		if (!this.refusing) {
			this.onComplete.run();
			take(rejection);
		}
	}

	/**
	 * Closes the connection once all requests have their answers.
	 */
	void endOfInput() {
		this.inputEnded = true;
		next();
	}

	private void take(Object item) {
		if (item instanceof Rejection rejection && rejection.lastOfConnection()) {
			this.refusing = true;
		}
		this.waiting.add(item);
		next();
	}

	private void next() {
		Object item = this.answering ? null : this.waiting.poll();
		readOn();
		if (item instanceof Rejection rejection) {
			refuse(rejection);
		}
		else if (item instanceof FullHttpRequest request) {
			pass(request);
		}
		else if (this.inputEnded && !this.answering && !this.refusing) {
			this.context.close();
		}
	}

	private void readOn() {
		Channel channel = this.context.channel();
		boolean wanted = this.waiting.isEmpty() || this.refusing;
		if (channel.config().isAutoRead() != wanted) {
			channel.config().setAutoRead(wanted);
		}
	}

	private void pass(FullHttpRequest request) {
		this.answering = true;
		this.passedBytes = request.content().readableBytes();
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

	private void refuse(Rejection rejection) {
		this.answering = true;
		ChannelPromise written = this.context.newPromise();
		write(this.context, rejection.response(this.problem), written);
		this.context.flush();
		if (rejection.lastOfConnection()) {
			written.addListener((done) -> linger());
		}
	}

	/**
	 * Lets the other side read the answer: closing at once, with bytes of the request
	 * unread, would reset the connection.
	 */
	private void linger() {
		((DuplexChannel) this.context.channel()).shutdownOutput();
		if (this.inputEnded) {
			this.context.close();
			return;
		}
		this.context.executor().schedule(() -> this.context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
		ctx.write(msg, promise);
		if (msg instanceof LastHttpContent) {
			ctx.executor().execute(this::answered);
		}
	}

	private void answered() {
		this.answering = false;
		letGo(this.passedBytes);
		this.passedBytes = 0;
		next();
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
		letGo(this.heldBytes);
		this.refusing = true;
		ctx.fireChannelInactive();
	}

}
