package org.masticwick.cli.connection;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Proxy;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.Headers;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * Makes HTTP requests without waiting for them. It repeats none by itself.
 */
public final class HttpCaller implements AutoCloseable {

	private static final MediaType JSON = MediaType.get("application/json");

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration KEEP_ALIVE = Duration.ofSeconds(20);

	private static final int MAX_REQUEST_COUNT = 12_000;

	private static final int MAX_IDLE_CONNECTION_COUNT = 4_096;

	private static final long THREAD_STACK_BYTES = 256 * 1024;

	private static final long SECOND_MILLIS = 1_000;

	private final ExecutorService executor;

	private final OkHttpClient client;

	/**
	 * Creates a caller with connections of its own.
	 */
	public HttpCaller() {
		this.executor = new ThreadPoolExecutor(0, Integer.MAX_VALUE, KEEP_ALIVE.toSeconds(), TimeUnit.SECONDS,
				new SynchronousQueue<>(), HttpCaller::thread);
		Dispatcher dispatcher = new Dispatcher(this.executor);
		dispatcher.setMaxRequests(MAX_REQUEST_COUNT);
		dispatcher.setMaxRequestsPerHost(MAX_REQUEST_COUNT);
		this.client = new OkHttpClient.Builder().dispatcher(dispatcher)
			.connectionPool(new ConnectionPool(MAX_IDLE_CONNECTION_COUNT, KEEP_ALIVE.toSeconds(), TimeUnit.SECONDS))
			.connectTimeout(CONNECT_TIMEOUT)
			.readTimeout(Duration.ZERO)
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.proxy(Proxy.NO_PROXY)
			.build();
	}

	/**
	 * Makes a GET request.
	 * @param url the URL
	 * @param limit how long the whole exchange may take
	 * @return the answer, or {@link HostUnreachableException}
	 */
	public CompletableFuture<HttpAnswer> get(HttpUrl url, Duration limit) {
		return call(new Request.Builder().url(url).build(), limit);
	}

	/**
	 * Makes a request with a JSON body.
	 * @param method the method
	 * @param url the URL
	 * @param json the body
	 * @param limit how long the whole exchange may take
	 * @return the answer, or {@link HostUnreachableException}
	 */
	public CompletableFuture<HttpAnswer> send(String method, HttpUrl url, byte[] json, Duration limit) {
		RequestBody body = RequestBody.create(json, JSON);
		return call(new Request.Builder().url(url).method(method, body).build(), limit);
	}

	/**
	 * Makes a POST request with headers of its own.
	 * @param url the URL
	 * @param headers the headers
	 * @param content the body
	 * @param limit how long the whole exchange may take
	 * @return the answer, or {@link HostUnreachableException}
	 */
	public CompletableFuture<HttpAnswer> post(HttpUrl url, Map<String, String> headers, byte[] content,
			Duration limit) {
		return call(
				new Request.Builder().url(url).headers(Headers.of(headers)).post(RequestBody.create(content)).build(),
				limit);
	}

	/**
	 * Makes a DELETE request.
	 * @param url the URL
	 * @param limit how long the whole exchange may take
	 * @return the answer, or {@link HostUnreachableException}
	 */
	public CompletableFuture<HttpAnswer> delete(HttpUrl url, Duration limit) {
		return call(new Request.Builder().url(url).delete().build(), limit);
	}

	/**
	 * Waits for an answer.
	 * @param <T> the type of the answer
	 * @param future the answer to come
	 * @return the answer
	 */
	public static <T> T await(CompletableFuture<T> future) {
		try {
			return future.join();
		}
		catch (CompletionException ex) {
			if (ex.getCause() instanceof RuntimeException cause) {
				throw cause;
			}
			throw ex;
		}
	}

	@Override
	public void close() {
		this.client.dispatcher().cancelAll();
		this.client.connectionPool().evictAll();
		this.executor.shutdown();
	}

	private CompletableFuture<HttpAnswer> call(Request request, Duration limit) {
		Call call = this.client.newCall(request);
		call.timeout().timeout(limit.toMillis(), TimeUnit.MILLISECONDS);
		CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
		call.enqueue(new Completion(result));
		return result;
	}

	private static Thread thread(Runnable task) {
		Thread thread = new Thread(null, task, "http-caller", THREAD_STACK_BYTES);
		thread.setDaemon(true);
		return thread;
	}

	/**
	 * Hands the outcome of a call to its future.
	 */
	private record Completion(CompletableFuture<HttpAnswer> result) implements Callback {

		@Override
		public void onFailure(Call call, IOException ex) {
			boolean connected = !(ex instanceof ConnectException);
			HttpUrl url = call.request().url();
			String message = url.host() + ":" + url.port() + ": " + ex.getMessage();
			this.result.completeExceptionally(new HostUnreachableException(message, connected, ex));
		}

		@Override
		public void onResponse(Call call, Response response) {
			try (response) {
				byte[] body = response.body().bytes();
				this.result.complete(new HttpAnswer(response.code(), retryAfterMillis(response), body));
			}
			catch (IOException ex) {
				onFailure(call, ex);
			}
		}

		private static long retryAfterMillis(Response response) {
			String seconds = response.header("Retry-After", "");
			return seconds.matches("\\d{1,9}") ? Long.parseLong(seconds) * SECOND_MILLIS : 0;
		}

	}

}
