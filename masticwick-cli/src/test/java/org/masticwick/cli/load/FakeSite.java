package org.masticwick.cli.load;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Level;
import java.util.logging.Logger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import okhttp3.HttpUrl;
import okhttp3.mockwebserver.Dispatcher;
import okhttp3.mockwebserver.MockResponse;
import okhttp3.mockwebserver.MockWebServer;
import okhttp3.mockwebserver.RecordedRequest;

import org.masticwick.core.request.TaskSpec;

/**
 * Fake entry host and workers on one HTTP server. Injects faults into some jobs that a
 * load run must detect.
 */
final class FakeSite extends Dispatcher implements AutoCloseable {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final MockWebServer server = new MockWebServer();

	private final AtomicLong ticketCount = new AtomicLong();

	private final Map<String, Integer> starts = new ConcurrentHashMap<>();

	private final Map<String, MockResponse> answersByTicket = new ConcurrentHashMap<>();

	private final Fault fault;

	FakeSite(Fault fault) throws IOException {
		this.fault = fault;
		Logger.getLogger(MockWebServer.class.getName()).setLevel(Level.WARNING);
		this.server.setDispatcher(this);
		this.server.start();
	}

	HttpUrl url() {
		return HttpUrl.get("http://127.0.0.1:" + this.server.getPort());
	}

	@Override
	public void close() throws IOException {
		this.server.shutdown();
	}

	@Override
	public MockResponse dispatch(RecordedRequest request) {
		List<String> path = request.getRequestUrl().pathSegments();
		return switch (path.get(0) + "/" + ((path.size() > 1) ? path.get(1) : "")) {
			case "v1/tickets" -> issueTickets();
			case "v1/jobs" -> this.answersByTicket.computeIfAbsent(path.get(2), (ticket) -> answerJob(ticket, request));
			case "metrics/" -> new MockResponse().setBody(metrics());
			case "admin/starts" -> new MockResponse()
				.setBody(MAPPER.createObjectNode().set("starts", MAPPER.valueToTree(this.starts)).toString());
			case "admin/counters" -> new MockResponse().setBody("{\"total\":{\"started\":" + this.starts.size() + "}}");
			default -> new MockResponse().setResponseCode(404);
		};
	}

	private MockResponse issueTickets() {
		ObjectNode json = MAPPER.createObjectNode().put("expires_at_ms", Long.MAX_VALUE);
		for (int count = 0; count < 50; count++) {
			json.withArray("/tickets").add("t" + this.ticketCount.incrementAndGet());
		}
		return new MockResponse().setResponseCode(201).setBody(json.toString());
	}

	private String metrics() {
		return """
				# TYPE masticwick_messages counter
				masticwick_messages_total{kind="start"} %d
				masticwick_messages_wasted_total{kind="refused",service="s"} %d
				process_cpu_seconds_total 1.5
				""".formatted(this.starts.size() + 1, this.starts.size() / 2);
	}

	private MockResponse answerJob(String ticket, RecordedRequest request) {
		boolean faulty = ticket.endsWith("3");
		if (faulty && this.fault == Fault.REFUSE || this.fault == Fault.START_AND_REFUSE && faulty) {
			if (this.fault == Fault.START_AND_REFUSE) {
				this.starts.merge(ticket + ".0", 1, Integer::sum);
			}
			return new MockResponse().setResponseCode(503).setBody("{\"code\":\"overloaded\",\"ran\":\"no\"}");
		}
		ObjectNode answer = MAPPER.createObjectNode().put("ticket", ticket).put("outcome", "complete");
		int index = 0;
		for (JsonNode task : parseBody(request).path("tasks")) {
			String id = ticket + "." + index++;
			this.starts.merge(id, (faulty && this.fault == Fault.START_TWICE) ? 2 : 1, Integer::sum);
			String kind = task.path("kind").asText();
			String digest = AnswerCheck.expectedDigest(new TaskSpec(kind, task.path("payload").asText(), 0, 0, 0));
			String returnedDigest = (faulty && this.fault == Fault.WRONG_ANSWER) ? digest.replace('0', '1') : digest;
			answer.withArray("/results")
				.add(MAPPER.createObjectNode()
					.put("task", id)
					.put("kind", kind)
					.put("digest", returnedDigest)
					.toString());
		}
		if (faulty && this.fault == Fault.PARTIAL_ANSWER) {
			answer.withArray("/results").remove(0);
		}
		return new MockResponse().setBody(answer.toString()).setHeadersDelay(2, TimeUnit.MILLISECONDS);
	}

	private static JsonNode parseBody(RecordedRequest request) {
		try {
			return MAPPER.readTree(request.getBody().readUtf8());
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Faults, injected into the jobs whose ticket ends in 3.
	 */
	enum Fault {

		NONE, REFUSE, START_AND_REFUSE, START_TWICE, WRONG_ANSWER, PARTIAL_ANSWER

	}

}
