package org.masticwick.cli.load;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import okhttp3.HttpUrl;

import org.masticwick.cli.connection.AsyncHttpClient;
import org.masticwick.cli.connection.HostUnreachableException;
import org.masticwick.cli.connection.HttpResponse;

/**
 * Reads counters of hosts and stand-in workers, and injects faults into the workers.
 */
final class SiteProbe implements AutoCloseable {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);

	private static final Pattern MESSAGES_SAMPLE = Pattern
		.compile("masticwick_messages(_wasted)?_total\\{[^}]*?kind=\"([^\"]*)\"[^}]*} ([0-9.eE+]+)");

	private static final Pattern PEER_MESSAGES_SAMPLE = Pattern
		.compile("masticwick_peer_(messages_sent|sent_bytes)_total\\{[^}]*?type=\"([^\"]*)\"[^}]*} ([0-9.eE+]+)");

	private static final Pattern PROCESSOR_SECONDS_SAMPLE = Pattern
		.compile("(?m)^process_cpu_seconds_total ([0-9.eE+-]+)");

	private final AsyncHttpClient caller = new AsyncHttpClient();

	private final List<HttpUrl> hosts;

	private final List<HttpUrl> workerAdmins;

	SiteProbe(List<HttpUrl> hosts, List<HttpUrl> workerAdmins) {
		this.hosts = List.copyOf(hosts);
		this.workerAdmins = List.copyOf(workerAdmins);
	}

	/**
	 * Reads the counters of all hosts and workers; omits those that are unreachable or
	 * answer with an error.
	 * @return the counters
	 */
	SiteCounters readCounters() {
		Map<String, Map<String, Double>> values = new HashMap<>();
		this.hosts.forEach(
				(host) -> get(host, "metrics").ifPresent((text) -> values.put("host " + host, parseMetrics(text))));
		this.workerAdmins.forEach((admin) -> get(admin, "admin/counters")
			.ifPresent((text) -> values.put("workers " + admin, parseCounters(parseJson(text)))));
		return new SiteCounters(values);
	}

	/**
	 * Returns whether task starts can be read from workers.
	 * @return {@code true} if at least one admin address of workers is set
	 */
	boolean hasWorkerAdmins() {
		return !this.workerAdmins.isEmpty();
	}

	/**
	 * Reads how often the workers started each task.
	 * @return the number of starts by task id, summed over all workers
	 * @throws HostUnreachableException if an admin address does not return its starts
	 */
	Map<String, Integer> readStartCounts() {
		Map<String, Integer> startCounts = new HashMap<>();
		this.workerAdmins.forEach((admin) -> {
			String text = get(admin, "admin/starts")
				.orElseThrow(() -> new HostUnreachableException(admin + " did not return its task starts", true, null));
			parseJson(text).path("starts")
				.properties()
				.forEach((task) -> startCounts.merge(task.getKey(), task.getValue().asInt(), Integer::sum));
		});
		return startCounts;
	}

	/**
	 * Injects a fault into workers.
	 * @param adminIndex the index of the workers' admin address
	 * @param fault the body of the request to {@code /admin/faults}
	 * @throws HostUnreachableException if the request fails or the fault is refused
	 */
	void setFault(int adminIndex, JsonNode fault) {
		HttpUrl url = this.workerAdmins.get(adminIndex).newBuilder().addPathSegments("admin/faults").build();
		byte[] body = fault.toString().getBytes(StandardCharsets.UTF_8);
		HttpResponse answer = AsyncHttpClient.await(this.caller.sendJson("POST", url, body, REQUEST_TIMEOUT));
		if (!answer.successful()) {
			throw new HostUnreachableException(url + " refused the fault: " + answer.text(), true, null);
		}
	}

	@Override
	public void close() {
		this.caller.close();
	}

	/**
	 * Parses the counters of messages, bytes and processor time; ignores all other
	 * metrics.
	 * @param text metrics in the text format of Prometheus
	 * @return the values by name as in {@link SiteCounters}
	 */
	static Map<String, Double> parseMetrics(String text) {
		Map<String, Double> values = new HashMap<>();
		Matcher messages = MESSAGES_SAMPLE.matcher(text);
		while (messages.find()) {
			String prefix = (messages.group(1) != null) ? SiteCounters.WASTED_MESSAGES_PREFIX
					: SiteCounters.MESSAGES_PREFIX;
			values.merge(prefix + messages.group(2), Double.parseDouble(messages.group(3)), Double::sum);
		}
		Matcher peerMessages = PEER_MESSAGES_SAMPLE.matcher(text);
		while (peerMessages.find()) {
			boolean bytes = peerMessages.group(1).equals("sent_bytes");
			String prefix = bytes ? SiteCounters.PEER_BYTES_PREFIX : SiteCounters.PEER_MESSAGES_PREFIX;
			values.merge(prefix + peerMessages.group(2), Double.parseDouble(peerMessages.group(3)), Double::sum);
		}
		Matcher processor = PROCESSOR_SECONDS_SAMPLE.matcher(text);
		if (processor.find()) {
			values.put(SiteCounters.PROCESSOR_SECONDS, Double.parseDouble(processor.group(1)));
		}
		return values;
	}

	private static Map<String, Double> parseCounters(JsonNode json) {
		Map<String, Double> values = new HashMap<>();
		json.path("total")
			.properties()
			.forEach((count) -> values.put(SiteCounters.ENDPOINT_PREFIX + count.getKey(), count.getValue().asDouble()));
		return values;
	}

	private Optional<String> get(HttpUrl baseUrl, String path) {
		HttpUrl url = baseUrl.newBuilder().addPathSegments(path).build();
		try {
			return Optional.of(AsyncHttpClient.await(this.caller.get(url, REQUEST_TIMEOUT)))
				.filter(HttpResponse::successful)
				.map(HttpResponse::text);
		}
		catch (HostUnreachableException ex) {
			return Optional.empty();
		}
	}

	private static JsonNode parseJson(String text) {
		try {
			return MAPPER.readTree(text);
		}
		catch (JsonProcessingException ex) {
			return MAPPER.missingNode();
		}
	}

}
