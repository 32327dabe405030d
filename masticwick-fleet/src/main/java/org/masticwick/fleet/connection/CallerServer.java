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
 * Takes requests over HTTP/1.1.
 */
public final class CallerServer {

	/** How many connections may wait to be accepted. */
	private static final int BACKLOG_COUNT = 1_024;

	/** The largest body that any version may allow, in bytes. */
	private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

	/** After how long without a byte a connection is closed. */
	private static final long IDLE_MILLIS = 60_000;

	private final EventLoop eventLoop;

	private final String waitHeader;

	private final BiConsumer<CallerRequest, CallerExchange> handler;

	private final ChannelGroup channels;

	private boolean leaving;

	/**
	 * Creates a server that does not listen yet.
	 * @param eventLoop the event loop
	 * @param waitHeader the header that tells how long a caller waits, in milliseconds
	 * @param handler handles requests on the event loop
	 */
	public CallerServer(EventLoop eventLoop, String waitHeader, BiConsumer<CallerRequest, CallerExchange> handler) {
		this.eventLoop = eventLoop;
		this.waitHeader = waitHeader;
		this.handler = handler;
		this.channels = new DefaultChannelGroup(eventLoop);
	}

	/**
	 * Listens on an address.
	 * @param address the address
	 */
	public void listen(HostAddress address) {
		new ServerBootstrap().group(this.eventLoop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_BACKLOG, BACKLOG_COUNT)
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
	 * Closes each connection after its next answer.
	 */
	public void drain() {
		this.leaving = true;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	private void initChannel(Channel channel) {
		this.channels.add(channel);
		channel.pipeline()
			.addLast(new IdleStateHandler(0, 0, IDLE_MILLIS, TimeUnit.MILLISECONDS))
			.addLast(new HttpServerCodec())
			.addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
			.addLast(new CallerConnection(this, this.waitHeader, this.handler));
	}

}
