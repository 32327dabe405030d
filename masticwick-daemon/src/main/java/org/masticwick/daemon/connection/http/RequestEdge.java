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
 * Adds the bounds on requests to the connections of an HTTP server, which has no hook of
 * its own for them. Only servers that are started by {@link #guard} are changed.
 */
public final class RequestEdge extends ChannelInitializerExtension {

	private static final String EXTENSIONS_PROPERTY = "io.netty.bootstrap.extensions";

	private static final String LOAD_EXTENSIONS = "serviceload";

	private static final AttributeKey<EdgeSettings> SETTINGS = AttributeKey.valueOf(RequestEdge.class, "settings");

	private static final AttributeKey<BodyBudget> BUDGET = AttributeKey.valueOf(RequestEdge.class, "budget");

	private static final ThreadLocal<EdgeSettings> STARTING = new ThreadLocal<>();

	private static final String CODEC = "codec";

	private static final String ASSEMBLER = "request-assembler";

	private static final int CHUNK_BYTES = 64 * 1024;

	/**
	 * Lets Netty find this extension. Must be called before the process opens its first
	 * listening socket.
	 */
	public static void enable() {
		System.setProperty(EXTENSIONS_PROPERTY, LOAD_EXTENSIONS);
	}

	/**
	 * Starts a server whose connections get the bounds.
	 * @param <T> the type of the server
	 * @param settings the bounds
	 * @param starter starts the server on the calling thread
	 * @return the server
	 * @throws IllegalStateException if the extension was enabled too late
	 */
	public static <T> T startWithLimits(EdgeSettings settings, Supplier<T> starter) {
		STARTING.set(settings);
		try {
			T server = starter.get();
			if (STARTING.get() != null) {
				throw new IllegalStateException("The bounds on requests were enabled too late");
			}
			return server;
		}
		finally {
			STARTING.remove();
		}
	}

	@Override
	public void postInitializeServerListenerChannel(ServerChannel channel) {
		EdgeSettings settings = STARTING.get();
		if (settings != null) {
			channel.attr(SETTINGS).set(settings);
			channel.attr(BUDGET).set(new BodyBudget(settings.maxTotalBodyBytes()));
			STARTING.remove();
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
	 * Changes a pipeline once the server has filled it.
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
			int headerBytes = this.settings.maxHeaderBytes();
			pipeline.replace(CODEC, CODEC, new HttpServerCodec(headerBytes, headerBytes, CHUNK_BYTES));
			pipeline.addBefore(CODEC, "slow-request-guard",
					new SlowRequestGuard(this.settings.requestTimeoutMillis(), queue));
			pipeline.addAfter(CODEC, ASSEMBLER, new RequestAssembler(this.settings, queue));
			pipeline.addAfter(ASSEMBLER, "request-queue", queue);
		}

	}

}
