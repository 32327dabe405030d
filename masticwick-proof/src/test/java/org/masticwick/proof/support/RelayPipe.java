package org.masticwick.proof.support;

import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;

/**
 * Joins the source and target connection of a relay. Both run on the same event loop.
 */
final class RelayPipe {

	private final TcpRelay relay;

	private final SocketChannel source;

	private final Direction fromSource = new Direction(TcpRelay.Mode.SWALLOW_TO_TARGET);

	private final Direction fromTarget = new Direction(TcpRelay.Mode.SWALLOW_FROM_TARGET);

	private volatile Channel target;

	private volatile boolean blackholed;

	RelayPipe(TcpRelay relay, SocketChannel source) {
		this.relay = relay;
		this.source = source;
	}

	ChannelHandler fromSource() {
		return this.fromSource;
	}

	ChannelHandler fromTarget() {
		return this.fromTarget;
	}

	String sourceIp() {
		return this.source.remoteAddress().getAddress().getHostAddress();
	}

	void blackhole() {
		this.blackholed = true;
	}

	void closeBoth() {
		this.source.close();
		if (this.target != null) {
			this.target.close();
		}
	}

	/**
	 * Forwards bytes and the close of one connection to the other, delayed and in order.
	 */
	private final class Direction extends ChannelInboundHandlerAdapter {

		private final TcpRelay.Mode discardingMode;

		private long lastActionNanos = System.nanoTime();

		Direction(TcpRelay.Mode discardingMode) {
			this.discardingMode = discardingMode;
		}

		@Override
		public void channelActive(ChannelHandlerContext context) {
			if (this == RelayPipe.this.fromTarget) {
				RelayPipe.this.target = context.channel();
			}
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object bytes) {
			if (RelayPipe.this.blackholed || RelayPipe.this.relay.mode() == this.discardingMode) {
				ReferenceCountUtil.release(bytes);
				return;
			}
			runDelayed(context, () -> forward(bytes));
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (!RelayPipe.this.blackholed) {
				runDelayed(context, RelayPipe.this::closeBoth);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

		private void runDelayed(ChannelHandlerContext context, Runnable action) {
			long nowNanos = System.nanoTime();
			long delayNanos = TimeUnit.MILLISECONDS.toNanos(RelayPipe.this.relay.delayMillis());
			this.lastActionNanos = Math.max(nowNanos + delayNanos, this.lastActionNanos);
			if (this.lastActionNanos <= nowNanos) {
				action.run();
			}
			else {
				context.executor().schedule(action, this.lastActionNanos - nowNanos, TimeUnit.NANOSECONDS);
			}
		}

		private void forward(Object bytes) {
			Channel destination = (this == RelayPipe.this.fromSource) ? RelayPipe.this.target : RelayPipe.this.source;
			if (destination != null) {
				destination.writeAndFlush(bytes);
			}
			else {
				ReferenceCountUtil.release(bytes);
			}
		}

	}

}
