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
 * Speaks the endpoints' protocol through OkHttp. Posts share kept-alive connections;
 * look-ups and cancellations open fresh ones, since a kept connection may have gone
 * silent.
 */
public final class OkHttpEndpointClient implements EndpointClient {

	private static final Logger logger = LoggerFactory.getLogger(OkHttpEndpointClient.class);

	private static final MediaType JSON = MediaType.get("application/json");

	private static final int MAX_CALLS = 4096;

	private static final int MAX_IDLE_CONNECTIONS = 1024;

	private static final long IDLE_SECONDS = 20;

	private final EndpointLimits limits;

	private final EndpointReplies replies;

	private final ExecutorService executor;

	private final OkHttpClient posts;

	private final OkHttpClient questions;

	/**
	 * Creates a client.
	 * @param limits the bounds of a call
	 */
	public OkHttpEndpointClient(EndpointLimits limits) {
		this.limits = limits;
		this.replies = new EndpointReplies(limits.maxResultBytes());
		this.executor = Executors.newCachedThreadPool(new NamedThreads("endpoint"));
		this.posts = client(new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS), 0);
		this.questions = client(new ConnectionPool(0, 1, TimeUnit.SECONDS), limits.queryTimeoutMillis());
	}

	private OkHttpClient client(ConnectionPool pool, long callMillis) {
		Dispatcher dispatcher = new Dispatcher(this.executor);
		dispatcher.setMaxRequests(MAX_CALLS);
		dispatcher.setMaxRequestsPerHost(MAX_CALLS);
		return new OkHttpClient.Builder().dispatcher(dispatcher)
			.connectionPool(pool)
			.proxy(Proxy.NO_PROXY)
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.connectTimeout(this.limits.connectTimeoutMillis(), TimeUnit.MILLISECONDS)
			.readTimeout(0, TimeUnit.MILLISECONDS)
			.writeTimeout(this.limits.queryTimeoutMillis(), TimeUnit.MILLISECONDS)
			.callTimeout(callMillis, TimeUnit.MILLISECONDS)
			.addNetworkInterceptor(new StaleConnectionGuard())
			.eventListenerFactory((call) -> WriteWatch.of(call.request()))
			.build();
	}

	@Override
	public PendingPost post(TaskPost post) {
		Request request = new Request.Builder().url(url(post.endpoint(), "tasks", post.task().toString()))
			.header("Task-Service", post.service())
			.header("Task-Kind", post.kind())
			.header("Task-Lease-Millis", Long.toString(post.leaseMillis()))
			.tag(WriteWatch.class, new WriteWatch())
			.post(new OneShotBody(post.payload().getBytes(StandardCharsets.UTF_8)))
			.build();
		Call call = this.posts.newCall(request);
		CompletableFuture<PostReply> reply = new CompletableFuture<>();
		call.enqueue(new PostCallback(post.task(), this.replies, this::evictLater, reply));
		return new OkHttpPost(call, reply, this.posts.connectionPool());
	}

	@Override
	public CompletableFuture<LookupReply> lookup(HostAddress endpoint, TaskId task) {
		Request request = new Request.Builder().url(url(endpoint, "tasks", task.toString()))
			.header("Connection", "close")
			.build();
		CompletableFuture<LookupReply> reply = new CompletableFuture<>();
		this.questions.newCall(request).enqueue(new Callback() {

			@Override
			public void onFailure(Call call, IOException ex) {
				reply.complete(new LookupReply(LookupState.UNREACHABLE, null));
			}

			@Override
			public void onResponse(Call call, Response response) {
				reply.complete(OkHttpEndpointClient.this.replies.lookup(response));
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
		this.questions.newCall(request).enqueue(new Callback() {

			@Override
			public void onFailure(Call call, IOException ex) {
				logger.debug("Endpoint {} did not take a cancellation of {} tasks: {}", endpoint, tasks.size(),
						ex.getMessage());
			}

			@Override
			public void onResponse(Call call, Response response) {
				response.close();
			}

		});
	}

	@Override
	public void close() {
		this.posts.dispatcher().cancelAll();
		this.questions.dispatcher().cancelAll();
		this.executor.shutdown();
		this.posts.connectionPool().evictAll();
	}

	private static HttpUrl url(HostAddress endpoint, String... segments) {
		HttpUrl.Builder url = new HttpUrl.Builder().scheme("http").host(endpoint.ip()).port(endpoint.port());
		for (String segment : segments) {
			url.addPathSegment(segment);
		}
		return url.build();
	}

	/**
	 * Closes the idle connections in a while. One of them holds replies of other tasks; a
	 * post that was written there just now would be lost if it were closed at once.
	 */
	private void evictLater() {
		CompletableFuture.delayedExecutor(this.limits.queryTimeoutMillis(), TimeUnit.MILLISECONDS)
			.execute(this.posts.connectionPool()::evictAll);
	}

	/**
	 * Is a post in OkHttp.
	 *
	 * @param call the call
	 * @param reply the reply to come
	 * @param pool the kept connections; what silenced one may have silenced others, so
	 * none that is idle is used again
	 */
	private record OkHttpPost(Call call, CompletableFuture<PostReply> reply,
			ConnectionPool pool) implements PendingPost {

		@Override
		public void abandon() {
			this.call.cancel();
			this.pool.evictAll();
		}

	}

}
