package org.masticwick.wire.internal;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.TrafficCounters;
import org.masticwick.wire.internal.Envelope.Role;

/**
 * Detects unresponsive peers. Sends a {@link PeerMessage.Ping} when no byte was received
 * for half of the idle timeout, and closes the connection when the idle timeout expires.
 */
final class IdleConnectionMonitor extends IdleStateHandler {

	private static final Logger logger = LoggerFactory.getLogger(IdleConnectionMonitor.class);

	private final TrafficCounters traffic;

	IdleConnectionMonitor(long idleTimeoutMillis, TrafficCounters traffic) {
		super(idleTimeoutMillis / 2, 0, 0, TimeUnit.MILLISECONDS);
		this.traffic = traffic;
	}

	@Override
	protected void channelIdle(ChannelHandlerContext ctx, IdleStateEvent event) {
		if (event.state() != IdleState.READER_IDLE) {
			return;
		}
		if (event.isFirst()) {
			ctx.pipeline().get(PeerConnection.class).closeIfUnused();
			new MessageWriter(ctx.channel(), this.traffic).write(Role.ONE_WAY, 0, new PeerMessage.Ping());
		}
		else {
			logger.info("Closing the connection with {}: no byte received within the idle timeout",
					ctx.channel().remoteAddress());
			ctx.close();
		}
	}

}
