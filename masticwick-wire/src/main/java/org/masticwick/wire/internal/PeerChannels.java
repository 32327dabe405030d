package org.masticwick.wire.internal;

import java.net.InetAddress;
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
import io.netty.util.NetUtil;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;

import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerException;
import org.masticwick.wire.PeerTransportSettings;

/**
 * Listener and channels of a transport. Opens connections to peers, accepts those of
 * peers, and closes both.
 */
public final class PeerChannels implements AutoCloseable {

	private static final int EVENT_LOOP_THREAD_COUNT = 2;

	private static final long CLOSE_TIMEOUT_MILLIS = 500;

	private static final int ALLOCATOR_PAGE_BYTES = 8_192;

	private static final int ALLOCATOR_MAX_ORDER = 5;

	private static final int ALLOCATOR_SMALL_CACHE_COUNT = 64;

	private static final int ALLOCATOR_NORMAL_CACHE_COUNT = 8;

	private final EventLoopGroup eventLoops;

	private final boolean ownsEventLoops;

	private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);

	private final ByteBufAllocator allocator = new PooledByteBufAllocator(true, 1, EVENT_LOOP_THREAD_COUNT,
			ALLOCATOR_PAGE_BYTES, ALLOCATOR_MAX_ORDER, ALLOCATOR_SMALL_CACHE_COUNT, ALLOCATOR_NORMAL_CACHE_COUNT, false,
			0);

	private final ConnectionContext context;

	private final Channel listener;

	/**
	 * Opens the listener on event loops of its own.
	 * @param context the objects that all connections share
	 * @throws PeerException if the listener can't be bound to its address
	 */
	public PeerChannels(ConnectionContext context) {
		this(context, new NioEventLoopGroup(EVENT_LOOP_THREAD_COUNT, new DefaultThreadFactory("peer", true)), true);
	}

	/**
	 * Opens the listener on the given event loops.
	 * @param context the objects that all connections share
	 * @param eventLoops the event loops, which stay open when this object is closed
	 * @throws PeerException if the listener can't be bound to its address
	 */
	public PeerChannels(ConnectionContext context, EventLoopGroup eventLoops) {
		this(context, eventLoops, false);
	}

	private PeerChannels(ConnectionContext context, EventLoopGroup eventLoops, boolean ownsEventLoops) {
		this.context = context;
		this.eventLoops = eventLoops;
		this.ownsEventLoops = ownsEventLoops;
		this.listener = bindListener();
	}

	/**
	 * Returns the address that the listener is bound to.
	 * @return the address, with the actual port
	 */
	public HostAddress localAddress() {
		int port = ((InetSocketAddress) this.listener.localAddress()).getPort();
		return new HostAddress(this.context.settings().bindIp(), port);
	}

	/**
	 * Creates a link to a peer. The link opens its connection at the first use.
	 * @param peerAddress the address of the peer
	 * @return the link
	 */
	public PeerLink link(HostAddress peerAddress) {
		return new PeerLink(peerAddress, this.context.settings(), this::connect);
	}

	@Override
	public void close() {
		this.listener.close().awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
		// Completes when the messages written before have been flushed.
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

	private Channel bindListener() {
		PeerTransportSettings settings = this.context.settings();
		ChannelFuture bindFuture = new ServerBootstrap().group(this.eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.ALLOCATOR, this.allocator)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, writeBufferWaterMark())
			.childHandler(new PeerChannelInitializer(null))
			.bind(settings.bindIp(), settings.bindPort())
			.awaitUninterruptibly();
		if (!bindFuture.isSuccess()) {
			closeEventLoops();
			throw new PeerException("Can't listen for peers on " + settings.bindIp() + ":" + settings.bindPort(),
					bindFuture.cause(), false);
		}
		return bindFuture.channel();
	}

	private CompletableFuture<PeerConnection> connect(HostAddress peerAddress) {
		InetAddress peerIp = NetUtil.createInetAddressFromIpAddressString(peerAddress.ip());
		if (peerIp == null) {
			// The system's resolver would block the event loop.
			return CompletableFuture
				.failedFuture(new PeerException("Not a numeric IP address of a peer: " + peerAddress, null, false));
		}
		CompletableFuture<PeerConnection> connectionFuture = new CompletableFuture<>();
		ChannelFuture connectFuture = new Bootstrap().group(this.eventLoops)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.ALLOCATOR, this.allocator)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, writeBufferWaterMark())
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.context.settings().connectTimeoutMillis())
			.handler(new PeerChannelInitializer(peerAddress))
			.localAddress(new InetSocketAddress(this.context.settings().bindIp(), 0))
			.connect(new InetSocketAddress(peerIp, peerAddress.port()));
		connectFuture.addListener((future) -> startHandshake(connectFuture, connectionFuture));
		return connectionFuture;
	}

	private void startHandshake(ChannelFuture connectFuture, CompletableFuture<PeerConnection> connectionFuture) {
		if (!connectFuture.isSuccess()) {
			connectionFuture.completeExceptionally(connectFuture.cause());
			return;
		}
		PeerConnection connection = connectFuture.channel().pipeline().get(PeerConnection.class);
		connection.handshake().whenComplete((establishedConnection, error) -> {
			if (error != null) {
				connection.close();
				connectionFuture.completeExceptionally(error);
			}
			else {
				connectionFuture.complete(establishedConnection);
			}
		});
	}

	private WriteBufferWaterMark writeBufferWaterMark() {
		int highWaterMarkBytes = this.context.settings().maxOutboundBytes();
		return new WriteBufferWaterMark(highWaterMarkBytes / 2, highWaterMarkBytes);
	}

	/**
	 * Adds the handlers to the pipeline of a new channel.
	 */
	private final class PeerChannelInitializer extends ChannelInitializer<Channel> {

		private final HostAddress peerAddress;

		private PeerChannelInitializer(HostAddress peerAddress) {
			this.peerAddress = peerAddress;
		}

		@Override
		protected void initChannel(Channel channel) {
			ConnectionContext connectionContext = PeerChannels.this.context;
			PeerChannels.this.channels.add(channel);
			channel.pipeline()
				.addLast(new IdleConnectionMonitor(connectionContext))
				.addLast(new FrameDecoder())
				.addLast(new PeerConnection(connectionContext, channel, this.peerAddress));
		}

	}

}
