package org.masticwick.fleet.connection;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;

import org.masticwick.core.process.HostAddress;

/**
 * Sends calls one after the other on a connection to a server. If a call times out, the
 * connection is closed, so that a late reply can't be taken for the reply to a later
 * call.
 */
final class HttpExchangeHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

	private final HostAddress server;

	private final Consumer<HttpExchangeHandler> returnToPool;

	private ChannelHandlerContext context;

	private CompletableFuture<HttpReply> pendingReply;

	private Future<?> timeout;

	HttpExchangeHandler(HostAddress server, Consumer<HttpExchangeHandler> returnToPool) {
		this.server = server;
		this.returnToPool = returnToPool;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	boolean isUsable() {
		return this.context.channel().isActive() && this.pendingReply == null;
	}

	void close() {
		this.context.close();
	}

	void send(HttpCall call, CompletableFuture<HttpReply> reply) {
		this.pendingReply = reply;
		this.timeout = this.context.executor().schedule(this::onTimeout, call.timeoutMillis(), TimeUnit.MILLISECONDS);
		this.context.writeAndFlush(request(call)).addListener((writeFuture) -> {
			if (!writeFuture.isSuccess()) {
				fail(CallException.Code.BROKEN);
			}
		});
	}

	private FullHttpRequest request(HttpCall call) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method()),
				call.target(), Unpooled.wrappedBuffer(call.body()));
		request.headers().set(HttpHeaderNames.HOST, this.server.toString());
		request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
		call.headers().forEach((name, value) -> request.headers().set(name, value));
		return request;
	}

	private void onTimeout() {
		fail(CallException.Code.TIMEOUT);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
		CompletableFuture<HttpReply> replyFuture = clearPendingReply();
		if (replyFuture == null) {
			ctx.close();
			return;
		}
		HttpReply reply = new HttpReply(response.status().code(), ByteBufUtil.getBytes(response.content()));
		if (HttpUtil.isKeepAlive(response)) {
			this.returnToPool.accept(this);
		}
		else {
			ctx.close();
		}
		replyFuture.complete(reply);
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		fail(CallException.Code.BROKEN);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		fail(CallException.Code.BROKEN);
	}

	private void fail(CallException.Code code) {
		CompletableFuture<HttpReply> replyFuture = clearPendingReply();
		this.context.close();
		if (replyFuture != null) {
			replyFuture.completeExceptionally(new CallException(code,
					"No reply from " + this.server + " before the timeout or the end of the connection"));
		}
	}

	private CompletableFuture<HttpReply> clearPendingReply() {
		CompletableFuture<HttpReply> cleared = this.pendingReply;
		this.pendingReply = null;
		if (this.timeout != null) {
			this.timeout.cancel(false);
			this.timeout = null;
		}
		return cleared;
	}

}
