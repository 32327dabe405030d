package org.masticwick.daemon.connection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.EventListener;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.Buffer;
import okio.BufferedSink;
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

	private static final MediaType OCTETS = MediaType.get("application/octet-stream");

	private static final MediaType JSON = MediaType.get("application/json");

	private static final Pattern COUNT = Pattern.compile("\\d{1,6}");

	private static final int MAX_CALLS = 4096;

	private static final int MAX_IDLE_CONNECTIONS = 1024;

	private static final long IDLE_SECONDS = 20;

	private final EndpointLimits limits;

	private final ExecutorService executor;

	private final OkHttpClient posts;

	private final OkHttpClient questions;

	/**
	 * Creates a client.
	 * @param limits the bounds of a call
	 */
	public OkHttpEndpointClient(EndpointLimits limits) {
		this.limits = limits;
		this.executor = Executors.newCachedThreadPool(new NamedThreads("endpoint"));
		this.posts = client(new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS), 0);
		this.questions = client(new ConnectionPool(0, 1, TimeUnit.SECONDS), limits.questionMillis());
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
			.connectTimeout(this.limits.connectMillis(), TimeUnit.MILLISECONDS)
			.readTimeout(0, TimeUnit.MILLISECONDS)
			.writeTimeout(this.limits.questionMillis(), TimeUnit.MILLISECONDS)
			.callTimeout(callMillis, TimeUnit.MILLISECONDS)
			.addNetworkInterceptor(new StaleConnectionGuard())
			.eventListenerFactory((call) -> new WriteWatch(call))
			.build();
	}

	@Override
	public PendingPost post(TaskPost post) {
		Request request = new Request.Builder().url(url(post.endpoint(), "tasks", post.task().toString()))
			.header("Task-Service", post.service())
			.header("Task-Kind", post.kind())
			.header("Task-Lease-Millis", Long.toString(post.leaseMillis()))
			.tag(WriteState.class, new WriteState())
			.post(new OneShotBody(post.payload().getBytes(StandardCharsets.UTF_8)))
			.build();
		Call call = this.posts.newCall(request);
		CompletableFuture<PostReply> reply = new CompletableFuture<>();
		call.enqueue(new PostCallback(post.task(), request.tag(WriteState.class), reply));
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
				reply.complete(readLookup(response, task));
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

	private LookupReply readLookup(Response response, TaskId task) {
		try (response) {
			return switch (response.header("Task-State", "")) {
				case "running" -> new LookupReply(LookupState.RUNNING, null);
				case "finished" -> new LookupReply(LookupState.FINISHED, readBody(response));
				case "failed", "cancelled" -> new LookupReply(LookupState.FAILED, null);
				case "unknown" -> new LookupReply(LookupState.UNKNOWN, null);
				default -> new LookupReply(LookupState.UNREACHABLE, null);
			};
		}
		catch (IOException ex) {
			logger.debug("Look-up of {} failed: {}", task, ex.getMessage());
			return new LookupReply(LookupState.UNREACHABLE, null);
		}
	}

	/**
	 * Reads a whole result.
	 * @param response the response
	 * @return the result
	 * @throws IOException if the result is cut short or too long
	 */
	private String readBody(Response response) throws IOException {
		ResponseBody body = response.body();
		if (body == null) {
			throw new IOException("no body");
		}
		if (body.contentLength() < 0) {
			throw new IOException("the length of the result is not told");
		}
		if (body.contentLength() > this.limits.resultBytes()) {
			throw new IOException("the result is longer than " + this.limits.resultBytes() + " bytes");
		}
		Buffer buffer = new Buffer();
		body.source().readFully(buffer, body.contentLength());
		return buffer.readUtf8();
	}

	/**
	 * Closes the idle connections in a while. One of them holds replies of other tasks; a
	 * post that was written there just now would be lost if it were closed at once.
	 */
	private void evictLater() {
		CompletableFuture.delayedExecutor(this.limits.questionMillis(), TimeUnit.MILLISECONDS)
			.execute(this.posts.connectionPool()::evictAll);
	}

	/**
	 * Turns the outcome of a post into its reply.
	 */
	private final class PostCallback implements Callback {

		private final TaskId task;

		private final WriteState written;

		private final CompletableFuture<PostReply> reply;

		private PostCallback(TaskId task, WriteState written, CompletableFuture<PostReply> reply) {
			this.task = task;
			this.written = written;
			this.reply = reply;
		}

		@Override
		public void onFailure(Call call, IOException ex) {
			String detail = String.valueOf(ex.getMessage());
			this.reply.complete(this.written.begun() ? new PostReply.Uncertain(detail) : new PostReply.NotSent(detail));
		}

		@Override
		public void onResponse(Call call, Response response) {
			try (response) {
				PostReply told = read(response);
				this.reply.complete(told);
			}
			catch (IOException ex) {
				this.reply.complete(new PostReply.Uncertain(String.valueOf(ex.getMessage())));
			}
		}

		private PostReply read(Response response) throws IOException {
			if (!this.task.toString().equals(response.header("Task-Id"))) {
				evictLater();
				return new PostReply.Uncertain("the answer is not for this task");
			}
			if ("false".equals(response.header("Task-Started"))) {
				return readRefusal(response);
			}
			if (response.code() == 200) {
				return new PostReply.Succeeded(readBody(response), busySlotCount(response));
			}
			if ("true".equals(response.header("Task-Started")) && response.code() == 500) {
				return new PostReply.Failed("the endpoint told a failure", busySlotCount(response));
			}
			return new PostReply.Uncertain("status " + response.code());
		}

		private PostReply readRefusal(Response response) {
			return switch (response.header("Task-Reason", "")) {
				case "full" -> new PostReply.Refused(Reason.FULL, busySlotCount(response));
				case "leaving" -> new PostReply.Refused(Reason.LEAVING, busySlotCount(response));
				case "never-fits" -> new PostReply.Refused(Reason.NEVER_FITS, busySlotCount(response));
				default -> new PostReply.Uncertain("a refusal without a known reason");
			};
		}

		private int busySlotCount(Response response) {
			String count = response.header("Task-Busy-Slots", "");
			return COUNT.matcher(count).matches() ? Integer.parseInt(count) : PostReply.UNKNOWN_COUNT;
		}

	}

	/**
	 * Is the body of a post, which OkHttp must not send again whatever the reply says.
	 */
	private static final class OneShotBody extends RequestBody {

		private final byte[] payload;

		private OneShotBody(byte[] payload) {
			this.payload = payload;
		}

		@Override
		public MediaType contentType() {
			return OCTETS;
		}

		@Override
		public long contentLength() {
			return this.payload.length;
		}

		@Override
		public boolean isOneShot() {
			return true;
		}

		@Override
		public void writeTo(BufferedSink sink) throws IOException {
			sink.write(this.payload);
		}

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

	/**
	 * Remembers whether a byte of a request may have been written.
	 */
	private static final class WriteState {

		private final AtomicInteger beginCount = new AtomicInteger();

		void begin() {
			this.beginCount.incrementAndGet();
		}

		boolean begun() {
			return this.beginCount.get() > 0;
		}

	}

	/**
	 * Notes when OkHttp begins to write a request.
	 */
	private static final class WriteWatch extends EventListener {

		private final WriteState written;

		private WriteWatch(Call call) {
			this.written = call.request().tag(WriteState.class);
		}

		@Override
		public void connectStart(Call call, InetSocketAddress address, Proxy proxy) {
			logger.trace("Connecting to {}", address);
		}

		@Override
		public void requestHeadersStart(Call call) {
			if (this.written != null) {
				this.written.begin();
			}
		}

	}

}
