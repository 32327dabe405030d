package org.masticwick.proof.support;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import org.masticwick.core.process.HostAddress;

/**
 * Sends HTTP requests to the processes of a site. Failed requests are not retried.
 */
public final class ApiClient implements AutoCloseable {

	private static final MediaType JSON = MediaType.get("application/json");

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final OkHttpClient client;

	/**
	 * Creates a client.
	 * @param timeout the maximum duration of a request
	 */
	public ApiClient(Duration timeout) {
		this.client = new OkHttpClient.Builder().retryOnConnectionFailure(false)
			.callTimeout(timeout)
			.readTimeout(timeout)
			.build();
	}

	/**
	 * Sends a request without a body.
	 * @param method the HTTP method
	 * @param address the address of the server
	 * @param path the path, including the query string
	 * @return the reply, whatever its status
	 * @throws UncheckedIOException if no complete reply was received
	 */
	public Reply send(String method, HostAddress address, String path) {
		return send(method, address, path, "", Map.of());
	}

	/**
	 * Sends a request.
	 * @param method the HTTP method
	 * @param address the address of the server
	 * @param path the path, including the query string
	 * @param body the request body; not sent with {@code GET}
	 * @param headers the request headers
	 * @return the reply, whatever its status
	 * @throws UncheckedIOException if no complete reply was received
	 */
	public Reply send(String method, HostAddress address, String path, String body, Map<String, String> headers) {
		Request.Builder request = new Request.Builder().url("http://" + address + path)
			.method(method, method.equals("GET") ? null : RequestBody.create(body, JSON));
		headers.forEach(request::header);
		try (Response response = this.client.newCall(request.build()).execute()) {
			Map<String, String> received = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
			response.headers().forEach((header) -> received.put(header.getFirst(), header.getSecond()));
			return new Reply(response.code(), received, response.body().string());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(String.format(Locale.ROOT, "%s %s%s", method, address, path), ex);
		}
	}

	@Override
	public void close() {
		this.client.dispatcher().executorService().shutdown();
		this.client.connectionPool().evictAll();
	}

	/**
	 * Serializes a value to JSON.
	 * @param value the value
	 * @return the JSON text
	 */
	public static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Parses JSON.
	 * @param text the JSON text
	 * @return the parsed tree
	 * @throws UncheckedIOException if the text is not valid JSON
	 */
	public static JsonNode read(String text) {
		try {
			return MAPPER.readTree(text);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException("Invalid JSON: " + text, ex);
		}
	}

	/**
	 * Holds a complete HTTP reply.
	 *
	 * @param status the HTTP status code
	 * @param headers the headers; lookup by name ignores case
	 * @param body the body
	 */
	public record Reply(int status, Map<String, String> headers, String body) {

		/**
		 * Parses the body as JSON.
		 * @return the parsed tree
		 * @throws UncheckedIOException if the body is not valid JSON
		 */
		public JsonNode json() {
			return read(this.body);
		}

	}

}
