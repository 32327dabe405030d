package org.masticwick.daemon.connection.http;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;

import org.masticwick.core.process.ErrorCode;

/**
 * Rejects a request that isn't received completely within the timeout, or whose
 * connection ends before its last byte. The timeout runs from the first byte of a request
 * to its last; there is no limit on the idle time between two requests.
 */
final class SlowRequestGuard extends ChannelInboundHandlerAdapter {

	private final long timeoutMillis;

	private final RequestQueue queue;

	private ScheduledFuture<?> timer;

	SlowRequestGuard(long timeoutMillis, RequestQueue queue) {
		this.timeoutMillis = timeoutMillis;
		this.queue = queue;
		queue.onRequestComplete(this::stopTimer);
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object msg) {
		if (this.queue.discardingInput()) {
			ReferenceCountUtil.release(msg);
			return;
		}
		if (this.timer == null && msg instanceof ByteBuf bytes && bytes.isReadable()) {
			startTimer(ctx);
		}
		ctx.fireChannelRead(msg);
	}

	private void startTimer(ChannelHandlerContext ctx) {
		this.timer = ctx.executor().schedule(() -> onTimeout(ctx), this.timeoutMillis, TimeUnit.MILLISECONDS);
	}

	private void stopTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	private void onTimeout(ChannelHandlerContext ctx) {
		if (!ctx.channel().config().isAutoRead()) {
			startTimer(ctx);
			return;
		}
		this.queue.reject(new Rejection(ErrorCode.REQUEST_TIMEOUT,
				"The request was not received completely within " + this.timeoutMillis + " ms", true));
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
		if (event instanceof ChannelInputShutdownEvent) {
			onInputShutdown();
		}
		ctx.fireUserEventTriggered(event);
	}

	private void onInputShutdown() {
		if (this.timer != null) {
			this.queue.reject(new Rejection(ErrorCode.MALFORMED_REQUEST,
					"The client stopped sending before the request was complete", true));
		}
		this.queue.endOfInput();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		stopTimer();
		ctx.fireChannelInactive();
	}

}
