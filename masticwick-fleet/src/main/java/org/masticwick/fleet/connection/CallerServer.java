package org.masticwick.fleet.connection;

import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;

import org.masticwick.core.process.HostAddress;
import org.masticwick.fleet.request.CallerExchange;
import org.masticwick.fleet.request.CallerRequest;

/**
 * Accepts connections of callers and receives their requests over HTTP/1.1.
 */
public final class CallerServer {

	/** The number of connections that may wait to be accepted. */
	private static final int ACCEPT_BACKLOG_COUNT = 1_024;

	/** The upper bound of the body size limit that a published version can set. */
	private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

	/** A connection without traffic for this long is closed if no request is open. */
	private static final long IDLE_TIMEOUT_MILLIS = 60_000;

	private final EventLoop eventLoop;

	private final String timeoutHeader;

	private final BiConsumer<CallerRequest, CallerExchange> handler;

	private final ChannelGroup channels;

	private boolean draining;

	/**
	 * Creates a server that does not listen yet.
	 * @param eventLoop the event loop that runs all connections
	 * @param timeoutHeader the name of the request header that states how long the caller
	 * waits for the reply, in milliseconds
	 * @param handler handles requests; called on the event loop
	 */
	public CallerServer(EventLoop eventLoop, String timeoutHeader, BiConsumer<CallerRequest, CallerExchange> handler) {
		this.eventLoop = eventLoop;
		this.timeoutHeader = timeoutHeader;
		this.handler = handler;
		this.channels = new DefaultChannelGroup(eventLoop);
	}

	/**
	 * Binds an address and accepts connections from now on. Several addresses may be
	 * bound.
	 * @param address the address to bind
	 */
	public void listen(HostAddress address) {
		new ServerBootstrap().group(this.eventLoop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG_COUNT)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					CallerServer.this.initChannel(channel);
				}

			})
			.bind(address.ip(), address.port())
			.syncUninterruptibly();
	}

	/**
	 * Closes each connection after its next reply. New connections are still accepted.
	 */
	public void drain() {
		this.draining = true;
	}

	boolean isDraining() {
		return this.draining;
	}

	private void initChannel(Channel channel) {
		this.channels.add(channel);
		channel.pipeline()
			.addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
			.addLast(new HttpServerCodec())
			.addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
			.addLast(new CallerConnection(this, this.timeoutHeader, this.handler));
	}

}
