package org.masticwick.fleet.connection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BiConsumer;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.fleet.request.CallerExchange;
import org.masticwick.fleet.request.CallerReply;
import org.masticwick.fleet.request.CallerRequest;

/**
 * Handles the HTTP requests of one caller's connection, one at a time and in order.
 * Pipelined requests are queued; the connection is closed if the queue is full.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

	private static final Logger logger = LoggerFactory.getLogger(CallerConnection.class);

	private static final int MILLIS_PER_SECOND = 1_000;

	/** Bounds the sums that deadlines are computed by. */
	private static final double MAX_TIMEOUT_MILLIS = 3_600_000;

	private static final int MAX_PIPELINED_REQUEST_COUNT = 16;

	private final CallerServer server;

	private final String timeoutHeader;

	private final BiConsumer<CallerRequest, CallerExchange> handler;

	private final Deque<ParsedRequest> pipelinedRequests = new ArrayDeque<>();

	private Exchange currentExchange;

	CallerConnection(CallerServer server, String timeoutHeader, BiConsumer<CallerRequest, CallerExchange> handler) {
		this.server = server;
		this.timeoutHeader = timeoutHeader;
		this.handler = handler;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
		ParsedRequest parsed = new ParsedRequest(callerRequest(request), HttpUtil.isKeepAlive(request));
		if (this.currentExchange == null) {
			handle(ctx, parsed);
		}
		else if (this.pipelinedRequests.size() < MAX_PIPELINED_REQUEST_COUNT) {
			this.pipelinedRequests.add(parsed);
		}
		else {
			ctx.close();
		}
	}

	private CallerRequest callerRequest(FullHttpRequest request) {
		String hostName = request.headers().get(HttpHeaderNames.HOST, "");
		int colon = hostName.indexOf(':');
		return new CallerRequest(request.method().name(), (colon < 0) ? hostName : hostName.substring(0, colon),
				path(request.uri()), query(request.uri()), timeoutMillis(request),
				ByteBufUtil.getBytes(request.content()));
	}

	private static String path(String target) {
		int queryStart = target.indexOf('?');
		return (queryStart < 0) ? target : target.substring(0, queryStart);
	}

	private static String query(String target) {
		int queryStart = target.indexOf('?');
		return (queryStart < 0) ? "" : target.substring(queryStart + 1);
	}

	private long timeoutMillis(FullHttpRequest request) {
		String text = request.headers().get(this.timeoutHeader, "");
		try {
			return text.isEmpty() ? 0 : Math.max(0, (long) Math.min(MAX_TIMEOUT_MILLIS, Double.parseDouble(text)));
		}
		catch (NumberFormatException ex) {
			return 0;
		}
	}

	private void handle(ChannelHandlerContext ctx, ParsedRequest parsed) {
		Exchange exchange = new Exchange(ctx, parsed.keepAlive());
		this.currentExchange = exchange;
		try {
			this.handler.accept(parsed.request(), exchange);
		}
		catch (RuntimeException ex) {
			logger.atError()
				.addKeyValue("method", parsed.request().method())
				.addKeyValue("path", parsed.request().path())
				.setCause(ex)
				.log("Handling a request failed; it is answered as uncertain, as it may have started a job");
			exchange.reply(CallerReply.of(HttpResponseStatus.BAD_GATEWAY.code()));
		}
	}

	private void handleNextRequest(ChannelHandlerContext ctx) {
		this.currentExchange = null;
		ParsedRequest nextRequest = this.pipelinedRequests.poll();
		if (nextRequest != null && ctx.channel().isActive()) {
			handle(ctx, nextRequest);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		if (this.currentExchange != null) {
			this.currentExchange.disconnected();
			this.currentExchange = null;
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
		if (event instanceof IdleStateEvent && this.currentExchange == null) {
			ctx.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

	private record ParsedRequest(CallerRequest request, boolean keepAlive) {
	}

	private final class Exchange implements CallerExchange {

		private final ChannelHandlerContext ctx;

		private final boolean keepAlive;

		private Runnable disconnectAction = () -> {
		};

		private boolean finished;

		private Exchange(ChannelHandlerContext ctx, boolean keepAlive) {
			this.ctx = ctx;
			this.keepAlive = keepAlive;
		}

		@Override
		public void reply(CallerReply reply) {
			if (this.finished) {
				return;
			}
			this.finished = true;
			boolean keepConnection = this.keepAlive && !CallerConnection.this.server.isDraining();
			ChannelFuture writeFuture = this.ctx.writeAndFlush(response(reply, keepConnection));
			if (!keepConnection) {
				writeFuture.addListener(ChannelFutureListener.CLOSE);
			}
			handleNextRequest(this.ctx);
		}

		private FullHttpResponse response(CallerReply reply, boolean keepConnection) {
			FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(reply.status()), Unpooled.wrappedBuffer(reply.body()));
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
			if (reply.body().length > 0) {
				response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
			}
			if (reply.retryAfterMillis() > 0) {
				long seconds = (reply.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
				response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
			}
			if (!keepConnection) {
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
			return response;
		}

		@Override
		public void onDisconnect(Runnable action) {
			this.disconnectAction = action;
		}

		private void disconnected() {
			if (!this.finished) {
				this.finished = true;
				this.disconnectAction.run();
			}
		}

	}

}
