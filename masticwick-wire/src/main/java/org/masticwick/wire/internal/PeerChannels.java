package org.masticwick.wire.internal;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;

import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerException;
import org.masticwick.wire.PeerTransportSettings;

/**
 * Opens and closes the channels of a transport.
 */
public final class PeerChannels implements AutoCloseable {

	private static final int THREAD_COUNT = 2;

	private static final long CLOSE_TIMEOUT_MILLIS = 500;

	private static final int PAGE_BYTES = 8_192;

	private static final int MAX_ORDER = 5;

	private static final int SMALL_CACHE_COUNT = 64;

	private static final int NORMAL_CACHE_COUNT = 8;

	private final EventLoopGroup eventLoops;

	private final boolean ownsEventLoops;

	private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);

	private final ByteBufAllocator allocator = new PooledByteBufAllocator(true, 1, THREAD_COUNT, PAGE_BYTES, MAX_ORDER,
			SMALL_CACHE_COUNT, NORMAL_CACHE_COUNT, false, 0);

	private final ConnectionContext context;

	private final Channel listener;

	/**
	 * Opens the listener.
	 * @param context what all connections share
	 * @throws PeerException if the address can't be had
	 */
	public PeerChannels(ConnectionContext context) {
		this(context, new NioEventLoopGroup(THREAD_COUNT, new DefaultThreadFactory("peer", true)), true);
	}

	/**
	 * Opens the listener on event loops of the caller.
	 * @param context what all connections share
	 * @param eventLoops the event loops, which stay open
	 * @throws PeerException if the address can't be had
	 */
	public PeerChannels(ConnectionContext context, EventLoopGroup eventLoops) {
		this(context, eventLoops, false);
	}

	private PeerChannels(ConnectionContext context, EventLoopGroup eventLoops, boolean ownsEventLoops) {
		this.context = context;
		this.eventLoops = eventLoops;
		this.ownsEventLoops = ownsEventLoops;
		this.listener = listen();
	}

	/**
	 * Returns the address of the listener.
	 * @return the address
	 */
	public HostAddress localAddress() {
		int port = ((InetSocketAddress) this.listener.localAddress()).getPort();
		return new HostAddress(this.context.settings().bindIp(), port);
	}

	/**
	 * Creates a link to a peer.
	 * @param target the peer
	 * @return the link, not open yet
	 */
	public PeerLink link(HostAddress target) {
		return new PeerLink(target, this.context.settings(), this::connect);
	}

	@Override
	public void close() {
		this.listener.close().awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
		this.channels.writeAndFlush(Unpooled.EMPTY_BUFFER).awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
		this.channels.close().awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
		closeEventLoops();
	}

	private void closeEventLoops() {
		if (!this.ownsEventLoops) {
			return;
		}
		this.eventLoops.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
	}

	private Channel listen() {
		PeerTransportSettings settings = this.context.settings();
		ChannelFuture bound = new ServerBootstrap().group(this.eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.ALLOCATOR, this.allocator)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
			.childHandler(new Initializer(null))
			.bind(settings.bindIp(), settings.bindPort())
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			closeEventLoops();
			throw new PeerException("Can't listen on " + settings.bindIp() + ":" + settings.bindPort(), bound.cause(),
					false);
		}
		return bound.channel();
	}

	private CompletableFuture<PeerConnection> connect(HostAddress target) {
		CompletableFuture<PeerConnection> opened = new CompletableFuture<>();
		ChannelFuture connected = new Bootstrap().group(this.eventLoops)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.ALLOCATOR, this.allocator)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.context.settings().connectTimeoutMillis())
			.handler(new Initializer(target))
			.localAddress(new InetSocketAddress(this.context.settings().bindIp(), 0))
			.connect(target.ip(), target.port());
		connected.addListener((future) -> greet(connected, opened));
		return opened;
	}

	private void greet(ChannelFuture connected, CompletableFuture<PeerConnection> opened) {
		if (!connected.isSuccess()) {
			opened.completeExceptionally(connected.cause());
			return;
		}
		PeerConnection connection = connected.channel().pipeline().get(PeerConnection.class);
		connection.greet().whenComplete((greeted, error) -> {
			if (error != null) {
				connection.close();
				opened.completeExceptionally(error);
			}
			else {
				opened.complete(greeted);
			}
		});
	}

	private WriteBufferWaterMark waterMark() {
		int highBytes = this.context.settings().maxOutboundBytes();
		return new WriteBufferWaterMark(highBytes / 2, highBytes);
	}

	/**
	 * Sets up a new channel.
	 */
	private final class Initializer extends ChannelInitializer<Channel> {

		private final HostAddress target;

		private Initializer(HostAddress target) {
			this.target = target;
		}

		@Override
		protected void initChannel(Channel channel) {
			ConnectionContext shared = PeerChannels.this.context;
			PeerChannels.this.channels.add(channel);
			channel.pipeline()
				.addLast(new IdleConnectionMonitor(shared.settings().idleTimeoutMillis(), shared.traffic()))
				.addLast(new FrameDecoder())
				.addLast(new PeerConnection(shared, channel, this.target));
		}

	}

}
