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
 * Sends HTTP requests to the processes of a site; never sends one twice by itself.
 */
public final class ApiClient implements AutoCloseable {

	private static final MediaType JSON = MediaType.get("application/json");

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final OkHttpClient client;

	/**
	 * Creates a client.
	 * @param timeout how long a request may take
	 */
	public ApiClient(Duration timeout) {
		this.client = new OkHttpClient.Builder().retryOnConnectionFailure(false)
			.callTimeout(timeout)
			.readTimeout(timeout)
			.build();
	}

	/**
	 * Sends a request without a body.
	 * @param method the method
	 * @param address where to send it
	 * @param path the path with the query
	 * @return the reply
	 * @throws UncheckedIOException if no whole reply came
	 */
	public Reply send(String method, HostAddress address, String path) {
		return send(method, address, path, "", Map.of());
	}

	/**
	 * Sends a request.
	 * @param method the method
	 * @param address where to send it
	 * @param path the path with the query
	 * @param body the body
	 * @param headers the headers
	 * @return the reply
	 * @throws UncheckedIOException if no whole reply came
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
	 * Writes JSON.
	 * @param value the value
	 * @return the text
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
	 * Reads JSON.
	 * @param text the text
	 * @return the tree
	 * @throws UncheckedIOException if the text is not JSON
	 */
	public static JsonNode read(String text) {
		try {
			return MAPPER.readTree(text);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException("Not JSON: " + text, ex);
		}
	}

	/**
	 * Is a whole reply.
	 *
	 * @param status the HTTP status
	 * @param headers the headers, whatever the case of their names
	 * @param body the body
	 */
	public record Reply(int status, Map<String, String> headers, String body) {

		/**
		 * Reads the body.
		 * @return the tree
		 */
		public JsonNode json() {
			return read(this.body);
		}

	}

}
