package org.masticwick.proof.support;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

import org.masticwick.core.process.HostAddress;

/**
 * Forwards TCP connections to a target and injects network faults.
 */
public final class TcpRelay implements AutoCloseable {

	private static final String LOOPBACK = "127.0.0.1";

	private final EventLoopGroup group = new NioEventLoopGroup(1);

	private final Set<RelayPipe> openPipes = ConcurrentHashMap.newKeySet();

	private final HostAddress target;

	private final Predicate<String> partitionedSources;

	private final Channel server;

	private volatile Mode mode = Mode.PASS;

	private volatile long delayMillis;

	private TcpRelay(HostAddress target, Predicate<String> partitionedSources) {
		this.target = target;
		this.partitionedSources = partitionedSources;
		this.server = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.AUTO_READ, false)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel source) {
					accept(source);
				}

			})
			.bind(LOOPBACK, 0)
			.syncUninterruptibly()
			.channel();
	}

	/**
	 * Starts a relay on a port that the operating system chooses.
	 * @param target the address that connections are forwarded to
	 * @return the relay
	 */
	public static TcpRelay to(HostAddress target) {
		return new TcpRelay(target, (source) -> false);
	}

	/**
	 * Starts a relay that can be partitioned from some sources.
	 * @param target the address that connections are forwarded to
	 * @param partitionedSources tests whether the source with an IP address is currently
	 * partitioned from the target
	 * @return the relay
	 */
	static TcpRelay to(HostAddress target, Predicate<String> partitionedSources) {
		return new TcpRelay(target, partitionedSources);
	}

	/**
	 * Returns the address at which the relay listens.
	 * @return the address
	 */
	public HostAddress address() {
		return new HostAddress(LOOPBACK, ((InetSocketAddress) this.server.localAddress()).getPort());
	}

	/**
	 * Sets how bytes and connections are handled from now on. {@link Mode#DROP} also
	 * closes the open connections.
	 * @param mode the mode
	 */
	public void setMode(Mode mode) {
		this.mode = mode;
		if (mode == Mode.DROP) {
			this.openPipes.forEach(RelayPipe::closeBoth);
		}
	}

	/**
	 * Delays bytes in both directions.
	 * @param millis the delay of each direction in milliseconds
	 */
	public void setDelay(long millis) {
		this.delayMillis = millis;
	}

	/**
	 * Permanently discards all bytes of the connections that are open now, without
	 * closing them. New connections work.
	 */
	public void silenceExisting() {
		this.openPipes.forEach(RelayPipe::blackhole);
	}

	/**
	 * Permanently discards all bytes of the open connections of sources that are
	 * partitioned now, without closing them.
	 */
	void blackholePartitionedSources() {
		this.openPipes.stream()
			.filter((pipe) -> this.partitionedSources.test(pipe.sourceIp()))
			.forEach(RelayPipe::blackhole);
	}

	/**
	 * Returns the number of open connections.
	 * @return the number of connections from sources
	 */
	public int connectionCount() {
		return this.openPipes.size();
	}

	@Override
	public void close() {
		this.server.close().awaitUninterruptibly();
		this.openPipes.forEach(RelayPipe::closeBoth);
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	Mode mode() {
		return this.mode;
	}

	long delayMillis() {
		return this.delayMillis;
	}

	private void accept(SocketChannel source) {
		if (this.mode == Mode.DROP) {
			source.close();
			return;
		}
		RelayPipe pipe = new RelayPipe(this, source);
		this.openPipes.add(pipe);
		source.pipeline().addLast(pipe.fromSource());
		source.closeFuture().addListener((closed) -> this.openPipes.remove(pipe));
		if (this.mode == Mode.BLACKHOLE_NEW || this.partitionedSources.test(pipe.sourceIp())) {
			pipe.blackhole();
			return;
		}
		new Bootstrap().group(source.eventLoop())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(pipe.fromTarget())
			.connect(this.target.ip(), this.target.port())
			.addListener((connected) -> {
				if (connected.isSuccess()) {
					source.config().setAutoRead(true);
				}
				else {
					source.close();
				}
			});
	}

	/**
	 * Determines how the relay handles bytes and connections.
	 */
	public enum Mode {

		/** All bytes are forwarded. */
		PASS,

		/**
		 * Open connections are closed; new ones are closed as soon as they are accepted.
		 */
		DROP,

		/** Bytes to the target are discarded. */
		SWALLOW_TO_TARGET,

		/** Bytes from the target are discarded. */
		SWALLOW_FROM_TARGET,

		/**
		 * New connections are accepted but not connected to the target; open ones work.
		 */
		BLACKHOLE_NEW

	}

}
