package org.masticwick.fleet.connection;

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

import org.masticwick.core.process.HostAddress;

/**
 * Makes calls over HTTP/1.1 on kept connections, each of which carries one call at a
 * time. All calls and answers are on one event loop.
 */
public final class PooledHttpClient {

	/** As much as a page of the shared log holds, and some more. */
	private static final int MAX_REPLY_BYTES = 8 * 1024 * 1024;

	private final EventLoop eventLoop;

	private final int connectTimeoutMillis;

	private final int maxIdleCount;

	private final Map<HostAddress, Deque<HttpExchangeHandler>> idle = new HashMap<>();

	/**
	 * Creates a caller without connections.
	 * @param eventLoop the event loop
	 * @param connectTimeoutMillis how long opening a connection may take, in milliseconds
	 * @param maxIdleCount how many unused connections are kept to one address
	 */
	public PooledHttpClient(EventLoop eventLoop, int connectTimeoutMillis, int maxIdleCount) {
		this.eventLoop = eventLoop;
		this.connectTimeoutMillis = connectTimeoutMillis;
		this.maxIdleCount = maxIdleCount;
	}

	/**
	 * Makes a call.
	 * @param to whom to call
	 * @param call the call
	 * @return the answer, whatever its status; fails with {@link CallException}
	 */
	public CompletableFuture<HttpReply> call(HostAddress to, HttpCall call) {
		CompletableFuture<HttpReply> answer = new CompletableFuture<>();
		HttpExchangeHandler kept = takeIdle(to);
		if (kept != null) {
			kept.send(call, answer);
			return answer;
		}
		ChannelFuture connected = bootstrap(to).connect(to.ip(), to.port());
		connected.addListener((future) -> {
			if (connected.isSuccess()) {
				connected.channel().pipeline().get(HttpExchangeHandler.class).send(call, answer);
			}
			else {
				answer.completeExceptionally(new CallException(CallException.Code.NOT_SENT, "No connection to " + to));
			}
		});
		return answer;
	}

	private HttpExchangeHandler takeIdle(HostAddress to) {
		Deque<HttpExchangeHandler> unused = this.idle.get(to);
		while (unused != null && !unused.isEmpty()) {
			HttpExchangeHandler newest = unused.pop();
			if (newest.isUsable()) {
				return newest;
			}
		}
		return null;
	}

	private void keep(HostAddress to, HttpExchangeHandler handler) {
		Deque<HttpExchangeHandler> unused = this.idle.computeIfAbsent(to, (address) -> new ArrayDeque<>());
		if (unused.size() < this.maxIdleCount) {
			unused.push(handler);
		}
		else {
			handler.close();
		}
	}

	private Bootstrap bootstrap(HostAddress to) {
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
						.addLast(new HttpExchangeHandler(to, (handler) -> keep(to, handler)));
				}

			});
	}

}
