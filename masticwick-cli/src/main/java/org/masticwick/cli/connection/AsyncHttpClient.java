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
public final class AsyncHttpClient implements AutoCloseable {

	private static final MediaType JSON = MediaType.get("application/json");

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration KEEP_ALIVE = Duration.ofSeconds(20);

	private static final int MAX_CONCURRENT_REQUEST_COUNT = 12_000;

	private static final int MAX_IDLE_CONNECTION_COUNT = 4_096;

	private static final long THREAD_STACK_BYTES = 256 * 1024;

	private static final long MILLIS_PER_SECOND = 1_000;

	private final ExecutorService executor;

	private final OkHttpClient client;

	/**
	 * Creates a caller with connections of its own.
	 */
	public AsyncHttpClient() {
		this.executor = new ThreadPoolExecutor(0, Integer.MAX_VALUE, KEEP_ALIVE.toSeconds(), TimeUnit.SECONDS,
				new SynchronousQueue<>(), AsyncHttpClient::newThread);
		Dispatcher dispatcher = new Dispatcher(this.executor);
		dispatcher.setMaxRequests(MAX_CONCURRENT_REQUEST_COUNT);
		dispatcher.setMaxRequestsPerHost(MAX_CONCURRENT_REQUEST_COUNT);
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
	 * @param timeout how long the whole exchange may take
	 * @return the answer, or {@link HostUnreachableException}
	 */
	public CompletableFuture<HttpResponse> get(HttpUrl url, Duration timeout) {
		return execute(new Request.Builder().url(url).build(), timeout);
	}

	/**
	 * Makes a request with a JSON body.
	 * @param method the method
	 * @param url the URL
	 * @param json the body
	 * @param timeout how long the whole exchange may take
	 * @return the answer, or {@link HostUnreachableException}
	 */
	public CompletableFuture<HttpResponse> sendJson(String method, HttpUrl url, byte[] json, Duration timeout) {
		RequestBody body = RequestBody.create(json, JSON);
		return execute(new Request.Builder().url(url).method(method, body).build(), timeout);
	}

	/**
	 * Makes a POST request with headers of its own.
	 * @param url the URL
	 * @param headers the headers
	 * @param body the body
	 * @param timeout how long the whole exchange may take
	 * @return the answer, or {@link HostUnreachableException}
	 */
	public CompletableFuture<HttpResponse> post(HttpUrl url, Map<String, String> headers, byte[] body,
			Duration timeout) {
		return execute(
				new Request.Builder().url(url).headers(Headers.of(headers)).post(RequestBody.create(body)).build(),
				timeout);
	}

	/**
	 * Makes a DELETE request.
	 * @param url the URL
	 * @param timeout how long the whole exchange may take
	 * @return the answer, or {@link HostUnreachableException}
	 */
	public CompletableFuture<HttpResponse> delete(HttpUrl url, Duration timeout) {
		return execute(new Request.Builder().url(url).delete().build(), timeout);
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

	private CompletableFuture<HttpResponse> execute(Request request, Duration timeout) {
		Call call = this.client.newCall(request);
		call.timeout().timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
		CompletableFuture<HttpResponse> result = new CompletableFuture<>();
		call.enqueue(new FutureCallback(result));
		return result;
	}

	private static Thread newThread(Runnable task) {
		Thread thread = new Thread(null, task, "http-caller", THREAD_STACK_BYTES);
		thread.setDaemon(true);
		return thread;
	}

	/**
	 * Hands the outcome of a call to its future.
	 */
	private record FutureCallback(CompletableFuture<HttpResponse> future) implements Callback {

		@Override
		public void onFailure(Call call, IOException ex) {
			boolean possiblyDelivered = !(ex instanceof ConnectException);
			HttpUrl url = call.request().url();
			String message = url.host() + ":" + url.port() + ": " + ex.getMessage();
			this.future.completeExceptionally(new HostUnreachableException(message, possiblyDelivered, ex));
		}

		@Override
		public void onResponse(Call call, Response response) {
			try (response) {
				byte[] body = response.body().bytes();
				this.future.complete(new HttpResponse(response.code(), retryAfterMillis(response), body));
			}
			catch (IOException ex) {
				onFailure(call, ex);
			}
		}

		private static long retryAfterMillis(Response response) {
			String seconds = response.header("Retry-After", "");
			return seconds.matches("\\d{1,9}") ? Long.parseLong(seconds) * MILLIS_PER_SECOND : 0;
		}

	}

}
