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
 * Sends HTTP requests asynchronously. It neither retries requests nor follows redirects;
 * retries are up to the code that uses it.
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
	 * Creates a client with its own connection pool and threads.
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
	 * Sends a GET request.
	 * @param url the URL
	 * @param timeout the limit for the whole exchange, from connecting to the end of the
	 * response
	 * @return the response; completes exceptionally with {@link HostUnreachableException}
	 * if none was received completely
	 */
	public CompletableFuture<HttpResponse> get(HttpUrl url, Duration timeout) {
		return execute(new Request.Builder().url(url).build(), timeout);
	}

	/**
	 * Sends a request with a JSON body.
	 * @param method the HTTP method
	 * @param url the URL
	 * @param json the body
	 * @param timeout the limit for the whole exchange, from connecting to the end of the
	 * response
	 * @return the response; completes exceptionally with {@link HostUnreachableException}
	 * if none was received completely
	 */
	public CompletableFuture<HttpResponse> sendJson(String method, HttpUrl url, byte[] json, Duration timeout) {
		RequestBody body = RequestBody.create(json, JSON);
		return execute(new Request.Builder().url(url).method(method, body).build(), timeout);
	}

	/**
	 * Sends a POST request with the given headers.
	 * @param url the URL
	 * @param headers the headers
	 * @param body the body
	 * @param timeout the limit for the whole exchange, from connecting to the end of the
	 * response
	 * @return the response; completes exceptionally with {@link HostUnreachableException}
	 * if none was received completely
	 */
	public CompletableFuture<HttpResponse> post(HttpUrl url, Map<String, String> headers, byte[] body,
			Duration timeout) {
		return execute(
				new Request.Builder().url(url).headers(Headers.of(headers)).post(RequestBody.create(body)).build(),
				timeout);
	}

	/**
	 * Sends a DELETE request.
	 * @param url the URL
	 * @param timeout the limit for the whole exchange, from connecting to the end of the
	 * response
	 * @return the response; completes exceptionally with {@link HostUnreachableException}
	 * if none was received completely
	 */
	public CompletableFuture<HttpResponse> delete(HttpUrl url, Duration timeout) {
		return execute(new Request.Builder().url(url).delete().build(), timeout);
	}

	/**
	 * Waits until a future completes. A runtime exception that it completed with is
	 * thrown without the {@link CompletionException} around it.
	 * @param <T> the type of the value
	 * @param future the future
	 * @return the value of the future
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
	 * Completes a future with the response to a call or with its failure.
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
