package org.masticwick.daemon.connection.http;

import java.util.function.Supplier;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ServerChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.AttributeKey;

/**
 * Netty extension that adds request limits to the connections of an HTTP server that has
 * no hook of its own for them. Affects only servers that are started by
 * {@link #startWithLimits}.
 */
public final class RequestEdge extends ChannelInitializerExtension {

	private static final String EXTENSIONS_PROPERTY = "io.netty.bootstrap.extensions";

	private static final String LOAD_EXTENSIONS = "serviceload";

	private static final AttributeKey<EdgeSettings> SETTINGS = AttributeKey.valueOf(RequestEdge.class, "settings");

	private static final AttributeKey<BodyBudget> BUDGET = AttributeKey.valueOf(RequestEdge.class, "budget");

	private static final ThreadLocal<EdgeSettings> STARTING_SETTINGS = new ThreadLocal<>();

	private static final String CODEC = "codec";

	private static final String ASSEMBLER = "request-assembler";

	private static final int MAX_CHUNK_BYTES = 64 * 1024;

	/**
	 * Makes Netty load this extension. Must be called before the process opens its first
	 * listening socket, because Netty reads the property only then.
	 */
	public static void enable() {
		System.setProperty(EXTENSIONS_PROPERTY, LOAD_EXTENSIONS);
	}

	/**
	 * Starts a server with request limits on its connections.
	 * @param <T> the type of the server
	 * @param settings the limits
	 * @param starter starts and returns the server; must open its listening socket on the
	 * calling thread
	 * @return the server
	 * @throws IllegalStateException if Netty did not apply the limits because the
	 * extension was enabled too late
	 */
	public static <T> T startWithLimits(EdgeSettings settings, Supplier<T> starter) {
		STARTING_SETTINGS.set(settings);
		try {
			T server = starter.get();
			if (STARTING_SETTINGS.get() != null) {
				throw new IllegalStateException(
						"The HTTP server started without its request limits: RequestEdge.enable() must be called before the process opens its first listening socket");
			}
			return server;
		}
		finally {
			STARTING_SETTINGS.remove();
		}
	}

	@Override
	public void postInitializeServerListenerChannel(ServerChannel channel) {
		EdgeSettings settings = STARTING_SETTINGS.get();
		if (settings != null) {
			channel.attr(SETTINGS).set(settings);
			channel.attr(BUDGET).set(new BodyBudget(settings.maxTotalBodyBytes()));
			STARTING_SETTINGS.remove();
		}
	}

	@Override
	public void postInitializeServerChildChannel(Channel channel) {
		EdgeSettings settings = channel.parent().attr(SETTINGS).get();
		if (settings != null) {
			channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
			channel.pipeline().addLast(new Initializer(settings, channel.parent().attr(BUDGET).get()));
		}
	}

	/**
	 * Adds the handlers to the pipeline of a connection after the server has set it up.
	 */
	private static final class Initializer extends ChannelInitializer<Channel> {

		private final EdgeSettings settings;

		private final BodyBudget budget;

		Initializer(EdgeSettings settings, BodyBudget budget) {
			this.settings = settings;
			this.budget = budget;
		}

		@Override
		protected void initChannel(Channel channel) {
			ChannelPipeline pipeline = channel.pipeline();
			RequestQueue queue = new RequestQueue(this.settings.problemBodyWriter(), this.budget);
			int maxHeaderBytes = this.settings.maxHeaderBytes();
			pipeline.replace(CODEC, CODEC, new HttpServerCodec(maxHeaderBytes, maxHeaderBytes, MAX_CHUNK_BYTES));
			pipeline.addBefore(CODEC, "slow-request-guard",
					new SlowRequestGuard(this.settings.requestTimeoutMillis(), queue));
			pipeline.addAfter(CODEC, ASSEMBLER, new RequestAssembler(this.settings, queue));
			pipeline.addAfter(ASSEMBLER, "request-queue", queue);
		}

	}

}
