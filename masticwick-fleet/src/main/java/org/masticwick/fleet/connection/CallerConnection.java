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

import org.masticwick.fleet.request.CallerExchange;
import org.masticwick.fleet.request.CallerReply;
import org.masticwick.fleet.request.CallerRequest;

/**
 * Takes the requests of one connection, one at a time and in order.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

	private static final int MILLIS_PER_SECOND = 1_000;

	private static final int MAX_WAITING_COUNT = 16;

	private final CallerServer server;

	private final String waitHeader;

	private final BiConsumer<CallerRequest, CallerExchange> handler;

	private final Deque<ParsedRequest> waiting = new ArrayDeque<>();

	private Exchange current;

	CallerConnection(CallerServer server, String waitHeader, BiConsumer<CallerRequest, CallerExchange> handler) {
		this.server = server;
		this.waitHeader = waitHeader;
		this.handler = handler;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
		ParsedRequest parsed = new ParsedRequest(callerRequest(request), HttpUtil.isKeepAlive(request));
		if (this.current == null) {
			handle(ctx, parsed);
		}
		else if (this.waiting.size() < MAX_WAITING_COUNT) {
			this.waiting.add(parsed);
		}
		else {
			ctx.close();
		}
	}

	private CallerRequest callerRequest(FullHttpRequest request) {
		String hostName = request.headers().get(HttpHeaderNames.HOST, "");
		int colon = hostName.indexOf(':');
		return new CallerRequest(request.method().name(), (colon < 0) ? hostName : hostName.substring(0, colon),
				path(request.uri()), query(request.uri()), waitMillis(request),
				ByteBufUtil.getBytes(request.content()));
	}

	private static String path(String target) {
		int query = target.indexOf('?');
		return (query < 0) ? target : target.substring(0, query);
	}

	private static String query(String target) {
		int query = target.indexOf('?');
		return (query < 0) ? "" : target.substring(query + 1);
	}

	private long waitMillis(FullHttpRequest request) {
		String text = request.headers().get(this.waitHeader, "");
		try {
			return text.isEmpty() ? 0 : Math.max(0, (long) Double.parseDouble(text));
		}
		catch (NumberFormatException ex) {
			return 0;
		}
	}

	private void handle(ChannelHandlerContext ctx, ParsedRequest parsed) {
		this.current = new Exchange(ctx, parsed.keepAlive());
		this.handler.accept(parsed.request(), this.current);
	}

	private void replied(ChannelHandlerContext ctx) {
		this.current = null;
		ParsedRequest next = this.waiting.poll();
		if (next != null && ctx.channel().isActive()) {
			handle(ctx, next);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		if (this.current != null) {
			this.current.leave();
			this.current = null;
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
		if (event instanceof IdleStateEvent && this.current == null) {
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

		private Runnable leaveAction = () -> {
		};

		private boolean over;

		private Exchange(ChannelHandlerContext ctx, boolean keepAlive) {
			this.ctx = ctx;
			this.keepAlive = keepAlive;
		}

		@Override
		public void reply(CallerReply reply) {
			if (this.over) {
				return;
			}
			this.over = true;
			boolean keep = this.keepAlive && !CallerConnection.this.server.isLeaving();
			ChannelFuture written = this.ctx.writeAndFlush(response(reply, keep));
			if (!keep) {
				written.addListener(ChannelFutureListener.CLOSE);
			}
			replied(this.ctx);
		}

		private FullHttpResponse response(CallerReply reply, boolean keep) {
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
			if (!keep) {
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
			return response;
		}

		@Override
		public void onDisconnect(Runnable action) {
			this.leaveAction = action;
		}

		private void leave() {
			if (!this.over) {
				this.over = true;
				this.leaveAction.run();
			}
		}

	}

}
