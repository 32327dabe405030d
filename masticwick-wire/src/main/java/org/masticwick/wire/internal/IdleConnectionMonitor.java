package org.masticwick.wire.internal;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerTransportSettings;
import org.masticwick.wire.TrafficCounters;
import org.masticwick.wire.internal.Envelope.Role;

/**
 * Detects unresponsive peers. Sends a {@link PeerMessage.Ping} when no byte was received
 * for half of the idle timeout, and closes the connection when half of the timeout later
 * still none has arrived. A connection that is not checked is closed only after a much
 * longer time, as its peer may be gone without having closed it.
 */
final class IdleConnectionMonitor extends IdleStateHandler {

	private static final Logger logger = LoggerFactory.getLogger(IdleConnectionMonitor.class);

	/**
	 * After how many idle timeouts a connection is closed that a peer opened and that is
	 * not checked. Peers send far more often.
	 */
	private static final int ABANDONED_AFTER_IDLE_TIMEOUTS = 20;

	private final PeerTransportSettings settings;

	private final TrafficCounters traffic;

	private final LongSupplier nanoClock;

	private final long intervalNanos;

	private long lastReadNanos;

	private boolean pinged;

	private int idleIntervalCount;

	IdleConnectionMonitor(ConnectionContext context) {
		super(context.settings().idleTimeoutMillis() / 2, 0, 0, TimeUnit.MILLISECONDS);
		this.settings = context.settings();
		this.traffic = context.traffic();
		this.nanoClock = context.nanoClock();
		this.intervalNanos = TimeUnit.MILLISECONDS.toNanos(context.settings().idleTimeoutMillis() / 2);
		this.lastReadNanos = this.nanoClock.getAsLong();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
		this.pinged = false;
		this.idleIntervalCount = 0;
		this.lastReadNanos = this.nanoClock.getAsLong();
		super.channelRead(ctx, message);
	}

	@Override
	protected void channelIdle(ChannelHandlerContext ctx, IdleStateEvent event) {
		if (event.state() != IdleState.READER_IDLE || !isIntervalOver()) {
			return;
		}
		PeerConnection connection = ctx.pipeline().get(PeerConnection.class);
		this.idleIntervalCount++;
		if (!isChecked(connection)) {
			this.pinged = false;
			closeIfAbandoned(ctx, connection);
		}
		else if (this.pinged) {
			logger.info("Closing the connection with {}: no byte received within the idle timeout",
					ctx.channel().remoteAddress());
			connection.abort();
		}
		else {
			this.pinged = true;
			connection.closeIfUnused();
			new MessageWriter(ctx.channel(), this.traffic).write(Role.ONE_WAY, 0, new PeerMessage.Ping());
		}
	}

	// Netty's timer runs on the system clock and only determines when this is checked.
	private boolean isIntervalOver() {
		return this.nanoClock.getAsLong() - this.lastReadNanos >= (this.idleIntervalCount + 1) * this.intervalNanos;
	}

	private boolean isChecked(PeerConnection connection) {
		return this.settings.idleCheck() == PeerTransportSettings.IdleCheck.ALWAYS || connection.hasPendingCalls();
	}

	private void closeIfAbandoned(ChannelHandlerContext ctx, PeerConnection connection) {
		if (connection.isOpenedByThisHost()) {
			connection.closeIfUnused();
		}
		else if (this.idleIntervalCount >= 2 * ABANDONED_AFTER_IDLE_TIMEOUTS) {
			ctx.close();
		}
	}

}
