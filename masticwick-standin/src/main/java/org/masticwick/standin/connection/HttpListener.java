package org.masticwick.standin.connection;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;

/**
 * Listens for HTTP on one address. Many listeners share one group of threads.
 */
public final class HttpListener implements AutoCloseable {

	/** How large the body of a request may be, in bytes. */
	public static final int MAX_BODY_BYTES = 1 << 20;

	private static final int BACKLOG_COUNT = 256;

	private final EventLoopGroup group;

	private final int maxConnectionCount;

	private final HttpHandler handler;

	private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();

	private final AtomicInteger openCount = new AtomicInteger();

	private final AtomicLong rejectedCount = new AtomicLong();

	private volatile Channel channel;

	private volatile HostAddress address;

	/**
	 * Creates a listener that is not open yet.
	 * @param group the threads
	 * @param maxConnectionCount how many connections may be open at once; more are closed
	 * at accept
	 * @param handler what handles the requests
	 */
	public HttpListener(EventLoopGroup group, int maxConnectionCount, HttpHandler handler) {
		this.group = group;
		this.maxConnectionCount = maxConnectionCount;
		this.handler = handler;
	}

	/**
	 * Opens the listener.
	 * @param ip the IP number
	 * @param port the port, or 0 for one that the operating system chooses
	 * @return where it listens
	 * @throws StandinException if the address can't be had
	 */
	public synchronized HostAddress open(String ip, int port) {
		try {
			this.channel = bootstrap().bind(new InetSocketAddress(ip, port)).sync().channel();
			this.address = new HostAddress(ip, ((InetSocketAddress) this.channel.localAddress()).getPort());
			return this.address;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new StandinException(ErrorCode.INTERNAL, "Interrupted while binding " + ip + ":" + port, ex);
		}
	}

	/**
	 * Opens the listener again on the address it had.
	 */
	public synchronized void reopen() {
		if (this.channel == null) {
			open(this.address.ip(), this.address.port());
		}
	}

	/**
	 * Closes the listener and its connections.
	 */
	@Override
	public synchronized void close() {
		if (this.channel != null) {
			this.channel.close().awaitUninterruptibly();
			this.channel = null;
			this.connections.forEach(HttpConnection::close);
		}
	}

	/**
	 * Makes the open connections silent for good; new ones work.
	 */
	public void makeConnectionsUnresponsive() {
		this.connections.forEach(HttpConnection::stopResponding);
	}

	/**
	 * Returns where it listens or has listened.
	 * @return the address
	 */
	public HostAddress address() {
		return this.address;
	}

	/**
	 * Returns how many connections are open.
	 * @return the count
	 */
	public int openConnectionCount() {
		return this.openCount.get();
	}

	/**
	 * Returns how many connections were closed at accept.
	 * @return the count
	 */
	public long rejectedConnectionCount() {
		return this.rejectedCount.get();
	}

	HttpHandler handler() {
		return this.handler;
	}

	boolean admit(HttpConnection connection) {
		if (this.openCount.incrementAndGet() > this.maxConnectionCount) {
			this.openCount.decrementAndGet();
			this.rejectedCount.incrementAndGet();
			return false;
		}
		this.connections.add(connection);
		return true;
	}

	void release(HttpConnection connection) {
		this.connections.remove(connection);
		this.openCount.decrementAndGet();
	}

	private ServerBootstrap bootstrap() {
		return new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG_COUNT)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel accepted) {
					accepted.pipeline()
						.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES),
								new HttpConnection(HttpListener.this));
				}

			});
	}

}
