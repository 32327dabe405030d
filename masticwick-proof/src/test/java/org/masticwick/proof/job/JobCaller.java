package org.masticwick.proof.job;

import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;

import org.masticwick.core.process.HostAddress;
import org.masticwick.proof.support.ApiClient;
import org.masticwick.proof.support.EntryHostProcess;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Submits jobs as a caller does, and checks that an answer is whole and the caller's own.
 */
final class JobCaller {

	private static final String KIND = "k";

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final ApiClient client;

	JobCaller(ApiClient client) {
		this.client = client;
	}

	/**
	 * Fetches tickets.
	 * @param host the entry host that becomes their home
	 * @param count how many
	 * @return the tickets
	 */
	List<String> tickets(EntryHostProcess host, int count) {
		JsonNode reply = this.client.send("POST", host.api(), "/v1/tickets", "{\"count\":" + count + "}", Map.of())
			.json();
		return StreamSupport.stream(reply.path("tickets").spliterator(), false).map(JsonNode::textValue).toList();
	}

	/**
	 * Writes the body of a job. Each payload holds its job's name and its place.
	 * @param job the name of the job
	 * @param shape the sizes
	 * @return the body
	 */
	static String body(String job, Shape shape) {
		List<Map<String, Object>> tasks = IntStream.range(0, shape.taskCount())
			.mapToObj((index) -> Map.<String, Object>of("kind", KIND, "payload", payload(job, index, shape)))
			.toList();
		return ApiClient.write(Map.of("service", "meal-application", "team", "team", "deadline_ms",
				shape.deadlineMillis(), "tasks", tasks));
	}

	private static String payload(String job, int index, Shape shape) {
		return "{\"run_ms\":" + shape.runMillis() + ",\"job\":\"" + job + "\",\"index\":" + index + "}";
	}

	/**
	 * Sends a submission without waiting for its answer.
	 * @param host where to
	 * @param ticket the ticket
	 * @param body the body
	 * @return the reply to come
	 */
	CompletableFuture<ApiClient.Reply> submit(HostAddress host, String ticket, String body) {
		return CompletableFuture.supplyAsync(() -> this.client.send("PUT", host, "/v1/jobs/" + ticket, body, Map.of()),
				this.executor);
	}

	/**
	 * Cancels a job without waiting for the reply.
	 * @param host where to
	 * @param ticket the ticket
	 * @return the reply to come
	 */
	CompletableFuture<ApiClient.Reply> cancel(HostAddress host, String ticket) {
		return CompletableFuture.supplyAsync(() -> this.client.send("DELETE", host, "/v1/jobs/" + ticket),
				this.executor);
	}

	/**
	 * Sends a submission again and again until a whole reply tells how the job ended.
	 * @param hosts where to, one after the other
	 * @param ticket the ticket
	 * @param body the body
	 * @return the last reply
	 */
	ApiClient.Reply submitUntilEnded(List<HostAddress> hosts, String ticket, String body) {
		ApiClient.Reply reply = null;
		for (int attempt = 0; reply == null || open(reply); attempt++) {
			try {
				reply = this.client.send("PUT", hosts.get(attempt % hosts.size()), "/v1/jobs/" + ticket, body,
						Map.of());
			}
			catch (UncheckedIOException ex) {
				assertThat(attempt).as("attempts: " + ex).isLessThan(50);
			}
		}
		return reply;
	}

	private static boolean open(ApiClient.Reply reply) {
		return reply.status() == 202 || reply.json().path("code").asText().equals("outcome-unknown");
	}

	/**
	 * Checks that an answer is complete, whole and for this job.
	 * @param reply the answer
	 * @param ticket the ticket
	 * @param job the name of the job
	 * @param shape the sizes
	 */
	static void assertComplete(ApiClient.Reply reply, String ticket, String job, Shape shape) {
		assertThat(reply.status()).as(reply.body()).isEqualTo(200);
		JsonNode answer = reply.json();
		assertThat(answer.path("ticket").textValue()).isEqualTo(ticket);
		assertThat(answer.path("outcome").textValue()).isEqualTo("complete");
		assertThat(answer.path("results")).hasSize(shape.taskCount());
		IntStream.range(0, shape.taskCount()).forEach((index) -> {
			JsonNode result = ApiClient.read(answer.path("results").path(index).textValue());
			assertThat(result.path("task").textValue()).isEqualTo(ticket + "." + index);
			assertThat(result.path("digest").textValue()).isEqualTo(digest(KIND + "\n" + payload(job, index, shape)));
		});
	}

	private static String digest(String text) {
		try {
			byte[] hash = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(hash);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Holds the sizes of a job.
	 *
	 * @param taskCount how many tasks
	 * @param runMillis how long each runs, in milliseconds
	 * @param deadlineMillis how long the caller waits, in milliseconds
	 */
	record Shape(int taskCount, long runMillis, long deadlineMillis) {

	}

}
