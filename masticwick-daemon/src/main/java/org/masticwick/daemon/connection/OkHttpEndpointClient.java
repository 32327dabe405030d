package org.masticwick.daemon.connection;

import java.io.IOException;
import java.net.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.TaskId;

/**
 * Client of the endpoints' protocol that uses OkHttp. Posts share kept-alive connections.
 * Status lookups and cancellations each open a new one, since a kept-alive connection may
 * have become unresponsive.
 */
public final class OkHttpEndpointClient implements EndpointClient {

	private static final Logger logger = LoggerFactory.getLogger(OkHttpEndpointClient.class);

	private static final MediaType JSON = MediaType.get("application/json");

	private static final int MAX_CONCURRENT_CALLS = 4096;

	private static final int MAX_IDLE_CONNECTIONS = 1024;

	private static final long MAX_IDLE_SECONDS = 20;

	private final EndpointLimits limits;

	private final EndpointReplies replies;

	private final ExecutorService executor;

	private final OkHttpClient postClient;

	private final OkHttpClient queryClient;

	/**
	 * Creates a client.
	 * @param limits the limits on a call
	 */
	public OkHttpEndpointClient(EndpointLimits limits) {
		this.limits = limits;
		this.replies = new EndpointReplies(limits.maxResultBytes());
		this.executor = Executors.newCachedThreadPool(new NamedThreads("endpoint"));
		this.postClient = buildClient(new ConnectionPool(MAX_IDLE_CONNECTIONS, MAX_IDLE_SECONDS, TimeUnit.SECONDS), 0);
		this.queryClient = buildClient(new ConnectionPool(0, 1, TimeUnit.SECONDS), limits.queryTimeoutMillis());
	}

	private OkHttpClient buildClient(ConnectionPool pool, long callTimeoutMillis) {
		Dispatcher dispatcher = new Dispatcher(this.executor);
		dispatcher.setMaxRequests(MAX_CONCURRENT_CALLS);
		dispatcher.setMaxRequestsPerHost(MAX_CONCURRENT_CALLS);
		return new OkHttpClient.Builder().dispatcher(dispatcher)
			.connectionPool(pool)
			.proxy(Proxy.NO_PROXY)
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.connectTimeout(this.limits.connectTimeoutMillis(), TimeUnit.MILLISECONDS)
			.readTimeout(0, TimeUnit.MILLISECONDS)
			.writeTimeout(this.limits.queryTimeoutMillis(), TimeUnit.MILLISECONDS)
			.callTimeout(callTimeoutMillis, TimeUnit.MILLISECONDS)
			.addNetworkInterceptor(new StaleConnectionGuard())
			.addNetworkInterceptor(new LivenessCheck())
			.build();
	}

	@Override
	public PendingPost post(TaskPost post) {
		WriteTracker writeTracker = new WriteTracker();
		Request request = new Request.Builder().url(url(post.endpoint(), "tasks", post.task().toString()))
			.header("Task-Service", post.service())
			.header("Task-Kind", post.kind())
			.header("Task-Lease-Millis", Long.toString(post.leaseMillis()))
			.tag(WriteTracker.class, writeTracker)
			.post(new OneShotBody(post.payload().getBytes(StandardCharsets.UTF_8), writeTracker))
			.build();
		Call call = this.postClient.newCall(request);
		CompletableFuture<PostReply> reply = new CompletableFuture<>();
		call.enqueue(new PostCallback(post.task(), this.replies, this::evictIdleConnectionsLater, reply));
		return new OkHttpPost(call, reply, this.postClient.connectionPool());
	}

	@Override
	public CompletableFuture<LookupReply> lookup(HostAddress endpoint, TaskId task) {
		Request request = new Request.Builder().url(url(endpoint, "tasks", task.toString()))
			.header("Connection", "close")
			.build();
		CompletableFuture<LookupReply> reply = new CompletableFuture<>();
		this.queryClient.newCall(request).enqueue(new Callback() {

			@Override
			public void onFailure(Call call, IOException ex) {
				reply.complete(new LookupReply(LookupState.UNREACHABLE, null));
			}

			@Override
			public void onResponse(Call call, Response response) {
				reply.complete(OkHttpEndpointClient.this.replies.readLookupReply(response));
			}

		});
		return reply;
	}

	@Override
	public void cancel(HostAddress endpoint, List<TaskId> tasks) {
		String ids = tasks.stream().map((task) -> "\"" + task + "\"").collect(Collectors.joining(",", "[", "]"));
		Request request = new Request.Builder().url(url(endpoint, "tasks"))
			.header("Connection", "close")
			.delete(RequestBody.create(ids, JSON))
			.build();
		this.queryClient.newCall(request).enqueue(new Callback() {

			@Override
			public void onFailure(Call call, IOException ex) {
				logger.debug(
						"Sending endpoint {} the cancellation of {} tasks failed; those still running may run until their leases expire: {}",
						endpoint, tasks.size(), ex.getMessage());
			}

			@Override
			public void onResponse(Call call, Response response) {
				response.close();
			}

		});
	}

	@Override
	public void close() {
		this.postClient.dispatcher().cancelAll();
		this.queryClient.dispatcher().cancelAll();
		this.executor.shutdown();
		this.postClient.connectionPool().evictAll();
	}

	private static HttpUrl url(HostAddress endpoint, String... segments) {
		HttpUrl.Builder url = new HttpUrl.Builder().scheme("http").host(endpoint.ip()).port(endpoint.port());
		for (String segment : segments) {
			url.addPathSegment(segment);
		}
		return url.build();
	}

	/**
	 * Closes the idle connections after the query timeout. A reply for another task shows
	 * that replies on one of them are out of step. Closing at once would lose a post that
	 * was just written there and whose reply is still on its way.
	 */
	private void evictIdleConnectionsLater() {
		CompletableFuture.delayedExecutor(this.limits.queryTimeoutMillis(), TimeUnit.MILLISECONDS)
			.execute(this.postClient.connectionPool()::evictAll);
	}

	/**
	 * A pending post with its OkHttp call.
	 *
	 * @param call the OkHttp call
	 * @param reply the future of the reply
	 * @param connectionPool the kept-alive connections; abandoning a post closes the idle
	 * ones too, since whatever made this connection unresponsive may affect them
	 */
	private record OkHttpPost(Call call, CompletableFuture<PostReply> reply,
			ConnectionPool connectionPool) implements PendingPost {

		@Override
		public boolean withdraw() {
			if (this.reply.isDone() || !WriteTracker.of(this.call.request()).withdraw()) {
				return false;
			}
			abandon();
			this.reply.complete(new PostReply.NotSent("the endpoint did not read the connection in time"));
			return true;
		}

		@Override
		public void abandon() {
			this.call.cancel();
			this.connectionPool.evictAll();
		}

	}

}
