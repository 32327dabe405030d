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
 * Carries one call after the other on a connection to a server. A connection on which a
 * call has no answer in time is closed, so that a late answer meets no other call.
 */
final class HttpExchangeHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

	private final HostAddress server;

	private final Consumer<HttpExchangeHandler> release;

	private ChannelHandlerContext context;

	private CompletableFuture<HttpReply> pending;

	private Future<?> timeout;

	HttpExchangeHandler(HostAddress server, Consumer<HttpExchangeHandler> release) {
		this.server = server;
		this.release = release;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	boolean isUsable() {
		return this.context.channel().isActive() && this.pending == null;
	}

	void close() {
		this.context.close();
	}

	void send(HttpCall call, CompletableFuture<HttpReply> answer) {
		this.pending = answer;
		this.timeout = this.context.executor().schedule(this::timedOut, call.timeoutMillis(), TimeUnit.MILLISECONDS);
		this.context.writeAndFlush(request(call)).addListener((written) -> {
			if (!written.isSuccess()) {
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

	private void timedOut() {
		fail(CallException.Code.TIMEOUT);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
		CompletableFuture<HttpReply> answer = take();
		if (answer == null) {
			ctx.close();
			return;
		}
		HttpReply reply = new HttpReply(response.status().code(), ByteBufUtil.getBytes(response.content()));
		if (HttpUtil.isKeepAlive(response)) {
			this.release.accept(this);
		}
		else {
			ctx.close();
		}
		answer.complete(reply);
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
		CompletableFuture<HttpReply> answer = take();
		this.context.close();
		if (answer != null) {
			answer.completeExceptionally(new CallException(code, "No answer of " + this.server));
		}
	}

	private CompletableFuture<HttpReply> take() {
		CompletableFuture<HttpReply> answer = this.pending;
		this.pending = null;
		if (this.timeout != null) {
			this.timeout.cancel(false);
			this.timeout = null;
		}
		return answer;
	}

}
