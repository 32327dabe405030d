package org.masticwick.standin.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.masticwick.core.process.HostAddress;

/**
 * HTTP client for requests to one address of a stand-in.
 */
final class TestHttpClient {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final HostAddress address;

	TestHttpClient(HostAddress address) {
		this.address = address;
	}

	HttpResponse<String> send(String method, String path, String body, String... headers)
			throws IOException, InterruptedException {
		return this.client.send(createRequest(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
	}

	CompletableFuture<HttpResponse<String>> sendAsync(String method, String path, String body, String... headers) {
		return this.client.sendAsync(createRequest(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
	}

	JsonNode getJson(String path) throws IOException, InterruptedException {
		return MAPPER.readTree(send("GET", path, "").body());
	}

	private HttpRequest createRequest(String method, String path, String body, String... headers) {
		HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + this.address + path))
			.timeout(TIMEOUT)
			.method(method, HttpRequest.BodyPublishers.ofString(body));
		return ((headers.length > 0) ? builder.headers(headers) : builder).build();
	}

}
