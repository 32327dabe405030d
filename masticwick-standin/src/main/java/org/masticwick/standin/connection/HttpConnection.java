package org.masticwick.standin.connection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.stream.IntStream;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves one connection of a listener. Pipelined requests wait and are handled one at a
 * time, so that responses keep the order of the requests. The state of the requests is
 * confined to the event loop of the connection; {@code unresponsive} is set by other
 * threads.
 */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

	private static final Logger logger = LoggerFactory.getLogger(HttpConnection.class);

	private static final int MAX_PIPELINED_COUNT = 64;

	private final HttpListener listener;

	private final Deque<HttpExchange> pipelinedExchanges = new ArrayDeque<>();

	private ChannelHandlerContext context;

	private boolean admitted;

	private boolean busy;

	private volatile boolean unresponsive;

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
		this.pipelinedExchanges.clear();
		if (this.admitted) {
			this.listener.release(this);
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
		if (this.unresponsive || !this.admitted) {
			return;
		}
		HttpExchange exchange = new HttpExchange(this, request);
		if (!this.busy) {
			dispatch(exchange);
		}
		else if (this.pipelinedExchanges.size() < MAX_PIPELINED_COUNT) {
			this.pipelinedExchanges.add(exchange);
		}
		else {
			context.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		logger.debug("Closing the connection from {} after an error", context.channel().remoteAddress(), cause);
		context.close();
	}

	/**
	 * Returns the handler that discards the bytes that arrive on an unresponsive
	 * connection. It comes before the HTTP codec, which would confirm requests with
	 * {@code 100 Continue} by itself.
	 * @return the first handler of the pipeline
	 */
	ChannelHandler inboundBytes() {
		return new ChannelInboundHandlerAdapter() {

			@Override
			public void channelRead(ChannelHandlerContext context, Object bytes) {
				if (HttpConnection.this.unresponsive) {
					ReferenceCountUtil.release(bytes);
				}
				else {
					context.fireChannelRead(bytes);
				}
			}

		};
	}

	/**
	 * Keeps the connection open but from now on discards what it receives and sends no
	 * responses. Can't be undone.
	 */
	void stopResponding() {
		this.unresponsive = true;
	}

	void close() {
		this.context.close();
	}

	/**
	 * Sends a response and continues with the next pipelined request.
	 * @param response the response, possibly with faults
	 * @param keepAlive whether the client wants the connection to stay open
	 */
	void respond(HttpResponse response, boolean keepAlive) {
		this.context.executor().execute(() -> write(response, keepAlive));
	}

	/**
	 * Closes the connection without a response, unless it is unresponsive and therefore
	 * has to stay open.
	 */
	void abort() {
		if (!this.unresponsive) {
			this.context.close();
		}
	}

	private void dispatch(HttpExchange exchange) {
		this.busy = true;
		exchange.serve(this.listener.handler());
	}

	private void write(HttpResponse response, boolean keepAlive) {
		if (this.unresponsive || !this.context.channel().isActive()) {
			return;
		}
		ChannelFuture writeFuture = IntStream.range(0, response.copyCount())
			.mapToObj((copy) -> this.context.write(toNettyResponse(response)))
			.reduce((previousWrite, lastWrite) -> lastWrite)
			.orElseThrow();
		if (response.closesConnection() || !keepAlive) {
			writeFuture.addListener(ChannelFutureListener.CLOSE);
		}
		this.context.flush();
		this.busy = false;
		HttpExchange nextExchange = this.pipelinedExchanges.poll();
		if (nextExchange != null) {
			dispatch(nextExchange);
		}
	}

	private static FullHttpResponse toNettyResponse(HttpResponse response) {
		FullHttpResponse nettyResponse = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(response.status()), Unpooled.wrappedBuffer(response.body()));
		response.headers().forEach(nettyResponse.headers()::set);
		if (response.status() != HttpResponseStatus.NO_CONTENT.code()) {
			nettyResponse.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.declaredLengthBytes());
		}
		return nettyResponse;
	}

}
