package org.masticwick.fleet.connection;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.util.NetUtil;

import org.masticwick.core.process.HostAddress;
import org.masticwick.fleet.version.SkippedRecords;

/**
 * An HTTP/1.1 client that reuses idle connections. A connection carries one call at a
 * time. The client must be used on its event loop, which also completes the replies.
 */
public final class PooledHttpClient {

	/** The size of the largest page of the log, plus headroom. */
	private static final int MAX_REPLY_BYTES = 8 * 1024 * 1024;

	private final EventLoop eventLoop;

	private final int connectTimeoutMillis;

	private final int maxIdleCount;

	private final Map<HostAddress, Deque<HttpExchangeHandler>> idleConnections = new HashMap<>();

	/**
	 * Creates a client without connections.
	 * @param eventLoop the event loop that runs all connections
	 * @param connectTimeoutMillis how long opening a connection may take, in milliseconds
	 * @param maxIdleCount the maximum number of idle connections to one server
	 */
	public PooledHttpClient(EventLoop eventLoop, int connectTimeoutMillis, int maxIdleCount) {
		this.eventLoop = eventLoop;
		this.connectTimeoutMillis = connectTimeoutMillis;
		this.maxIdleCount = maxIdleCount;
	}

	/**
	 * Sends a call on an idle connection, or on a new one if none is idle.
	 * @param server the address of the server
	 * @param call the call
	 * @return the reply, whatever its status; fails with {@link CallException}
	 */
	public CompletableFuture<HttpReply> call(HostAddress server, HttpCall call) {
		CompletableFuture<HttpReply> reply = new CompletableFuture<>();
		HttpExchangeHandler idleConnection = pollIdleConnection(server);
		if (idleConnection != null) {
			idleConnection.send(call, reply);
			return reply;
		}
		InetAddress ip = NetUtil.createInetAddressFromIpAddressString(server.ip());
		if (ip == null) {
			// The system's resolver would block the event loop.
			reply.completeExceptionally(new CallException(CallException.Code.NOT_SENT,
					SkippedRecords.shorten(server.ip()) + " is not a numeric IP address; the call was not sent"));
			return reply;
		}
		ChannelFuture connectFuture = bootstrap(server).connect(new InetSocketAddress(ip, server.port()));
		connectFuture.addListener((future) -> {
			if (connectFuture.isSuccess()) {
				connectFuture.channel().pipeline().get(HttpExchangeHandler.class).send(call, reply);
			}
			else {
				reply.completeExceptionally(new CallException(CallException.Code.NOT_SENT,
						"Connecting to " + server + " failed; the call was not sent"));
			}
		});
		return reply;
	}

	private HttpExchangeHandler pollIdleConnection(HostAddress server) {
		Deque<HttpExchangeHandler> connections = this.idleConnections.get(server);
		while (connections != null && !connections.isEmpty()) {
			HttpExchangeHandler lastUsed = connections.pop();
			if (lastUsed.isUsable()) {
				return lastUsed;
			}
		}
		return null;
	}

	private void returnToPool(HostAddress server, HttpExchangeHandler connection) {
		Deque<HttpExchangeHandler> connections = this.idleConnections.computeIfAbsent(server,
				(address) -> new ArrayDeque<>());
		if (connections.size() < this.maxIdleCount) {
			connections.push(connection);
		}
		else {
			connection.close();
		}
	}

	private Bootstrap bootstrap(HostAddress server) {
		return new Bootstrap().group(this.eventLoop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.connectTimeoutMillis)
			.handler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec())
						.addLast(new HttpObjectAggregator(MAX_REPLY_BYTES))
						.addLast(new HttpExchangeHandler(server, (connection) -> returnToPool(server, connection)));
				}

			});
	}

}
