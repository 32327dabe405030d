package org.masticwick.cli.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import okhttp3.HttpUrl;

import org.masticwick.cli.connection.AsyncHttpClient;
import org.masticwick.cli.connection.HostUnreachableException;
import org.masticwick.cli.connection.HttpResponse;

/**
 * Fetches a JSON document from the first reachable host.
 */
public final class HostQuery {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

	private HostQuery() {
	}

	/**
	 * Fetches a document.
	 * @param hosts the hosts, in the order in which they are tried
	 * @param path the path of the document, without a leading slash
	 * @return the document; an error response of the host is returned as well, without a
	 * check of its status
	 * @throws HostUnreachableException if no host responds with JSON
	 */
	public static JsonNode get(List<HttpUrl> hosts, String path) {
		List<String> failures = new ArrayList<>();
		try (AsyncHttpClient httpClient = new AsyncHttpClient()) {
			for (HttpUrl host : hosts) {
				try {
					HttpUrl url = host.newBuilder().addPathSegments(path).build();
					return parse(host, AsyncHttpClient.await(httpClient.get(url, REQUEST_TIMEOUT)));
				}
				catch (HostUnreachableException ex) {
					failures.add(ex.getMessage());
				}
			}
		}
		throw new HostUnreachableException(String.join("; ", failures), false, null);
	}

	private static JsonNode parse(HttpUrl host, HttpResponse response) {
		try {
			return MAPPER.readTree(response.text());
		}
		catch (JsonProcessingException ex) {
			String message = host + " responded with HTTP status " + response.status() + " and no valid JSON";
			throw new HostUnreachableException(message, true, ex);
		}
	}

}
