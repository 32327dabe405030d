package org.masticwick.standin.connection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.stream.IntStream;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves one connection of a listener, one request at a time.
 */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

	private static final Logger logger = LoggerFactory.getLogger(HttpConnection.class);

	private static final int MAX_PIPELINED_COUNT = 64;

	private final HttpListener listener;

	private final Deque<HttpExchange> waiting = new ArrayDeque<>();

	private ChannelHandlerContext context;

	private boolean admitted;

	private boolean busy;

	private volatile boolean silent;

	HttpConnection(HttpListener listener) {
		this.listener = listener;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.context = context;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.admitted = this.listener.admit(this);
		if (!this.admitted) {
			context.close();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.waiting.clear();
		if (this.admitted) {
			this.listener.release(this);
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
		if (this.silent || !this.admitted) {
			return;
		}
		HttpExchange exchange = new HttpExchange(this, request);
		if (!this.busy) {
			dispatch(exchange);
		}
		else if (this.waiting.size() < MAX_PIPELINED_COUNT) {
			this.waiting.add(exchange);
		}
		else {
			context.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		logger.debug("Connection {} failed", context.channel().remoteAddress(), cause);
		context.close();
	}

	/**
	 * Keeps the connection open but answers nothing on it any more.
	 */
	void stopResponding() {
		this.silent = true;
	}

	void close() {
		this.context.close();
	}

	void respond(HttpResponse answer, boolean keepAlive) {
		this.context.executor().execute(() -> write(answer, keepAlive));
	}

	void abort() {
		if (!this.silent) {
			this.context.close();
		}
	}

	private void dispatch(HttpExchange exchange) {
		this.busy = true;
		exchange.serve(this.listener.handler());
	}

	private void write(HttpResponse answer, boolean keepAlive) {
		if (this.silent || !this.context.channel().isActive()) {
			return;
		}
		ChannelFuture written = IntStream.range(0, answer.copyCount())
			.mapToObj((copy) -> this.context.write(response(answer)))
			.reduce((first, second) -> second)
			.orElseThrow();
		if (answer.closesConnection() || !keepAlive) {
			written.addListener(ChannelFutureListener.CLOSE);
		}
		this.context.flush();
		this.busy = false;
		HttpExchange next = this.waiting.poll();
		if (next != null) {
			dispatch(next);
		}
	}

	private static FullHttpResponse response(HttpResponse answer) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(answer.status()), Unpooled.wrappedBuffer(answer.body()));
		answer.headers().forEach(response.headers()::set);
		if (answer.status() != HttpResponseStatus.NO_CONTENT.code()) {
			response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, answer.declaredLengthBytes());
		}
		return response;
	}

}
