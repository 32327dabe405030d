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
 * Listens for HTTP connections on one address. Several listeners can share one group of
 * threads.
 */
public final class HttpListener implements AutoCloseable {

	/** Size limit of the body of a request, in bytes. */
	public static final int MAX_BODY_BYTES = 1 << 20;

	private static final int BACKLOG_COUNT = 256;

	private final EventLoopGroup group;

	private final int maxConnectionCount;

	private final HttpHandler handler;

	private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();

	private final AtomicInteger openConnectionCount = new AtomicInteger();

	private final AtomicLong rejectedConnectionCount = new AtomicLong();

	private volatile Channel channel;

	private volatile HostAddress address;

	/**
	 * Creates a listener that is not open yet.
	 * @param group the threads that serve the connections
	 * @param maxConnectionCount the number of connections that can be open at once; more
	 * are closed at accept
	 * @param handler the handler of all requests
	 */
	public HttpListener(EventLoopGroup group, int maxConnectionCount, HttpHandler handler) {
		this.group = group;
		this.maxConnectionCount = maxConnectionCount;
		this.handler = handler;
	}

	/**
	 * Opens the listener. A failure to bind, for example because the port is in use, is
	 * thrown as the {@link java.net.BindException} that Netty reports.
	 * @param ip the IP address to listen on
	 * @param port the port, or 0 for one that the operating system chooses
	 * @return the address of the listener
	 * @throws StandinException if the thread is interrupted
	 */
	public synchronized HostAddress open(String ip, int port) {
		try {
			this.channel = bootstrap().bind(new InetSocketAddress(ip, port)).sync().channel();
			this.address = new HostAddress(ip, ((InetSocketAddress) this.channel.localAddress()).getPort());
			return this.address;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new StandinException(ErrorCode.INTERNAL,
					"Interrupted while opening the listener on " + ip + ":" + port, ex);
		}
	}

	/**
	 * Opens a closed listener again on the address that it had; does nothing if it is
	 * open.
	 */
	public synchronized void reopen() {
		if (this.channel == null) {
			open(this.address.ip(), this.address.port());
		}
	}

	/**
	 * Closes the listener and its open connections; does nothing if it is closed.
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
	 * Makes the connections that are open now unresponsive for good. Later connections
	 * work.
	 */
	public void makeConnectionsUnresponsive() {
		this.connections.forEach(HttpConnection::stopResponding);
	}

	/**
	 * Returns the address of the listener, also after it was closed.
	 * @return the address, or {@code null} before the listener is opened
	 */
	public HostAddress address() {
		return this.address;
	}

	/**
	 * Returns the number of open connections.
	 * @return the number of connections
	 */
	public int openConnectionCount() {
		return this.openConnectionCount.get();
	}

	/**
	 * Returns the number of connections closed at accept because too many were open.
	 * @return the number since the listener was created
	 */
	public long rejectedConnectionCount() {
		return this.rejectedConnectionCount.get();
	}

	HttpHandler handler() {
		return this.handler;
	}

	/**
	 * Registers a new connection if the limit allows it.
	 * @param connection the connection
	 * @return {@code false} if the caller has to close the connection
	 */
	boolean admit(HttpConnection connection) {
		if (this.openConnectionCount.incrementAndGet() > this.maxConnectionCount) {
			this.openConnectionCount.decrementAndGet();
			this.rejectedConnectionCount.incrementAndGet();
			return false;
		}
		this.connections.add(connection);
		return true;
	}

	/**
	 * Removes a closed connection that was admitted.
	 * @param connection the connection
	 */
	void release(HttpConnection connection) {
		this.connections.remove(connection);
		this.openConnectionCount.decrementAndGet();
	}

	private ServerBootstrap bootstrap() {
		return new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG_COUNT)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel acceptedChannel) {
					HttpConnection connection = new HttpConnection(HttpListener.this);
					acceptedChannel.pipeline()
						.addLast(connection.inboundBytes(), new HttpServerCodec(),
								new HttpObjectAggregator(MAX_BODY_BYTES), connection);
				}

			});
	}

}
