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

	private final ProblemBody problem;

	private final Deque<Object> waiting = new ArrayDeque<>();

	private Runnable onComplete = () -> {
	};

	private ChannelHandlerContext context;

	private boolean answering;

	private boolean refusing;

	private boolean inputEnded;

	RequestQueue(ProblemBody problem) {
		this.problem = problem;
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
		rejection.ifPresent((found) -> ReferenceCountUtil.release(msg));
		take(rejection.map(Object.class::cast).orElse(msg));
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
		this.refusing = true;
		ctx.fireChannelInactive();
	}

}
