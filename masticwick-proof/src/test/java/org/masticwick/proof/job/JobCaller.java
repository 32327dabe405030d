package org.masticwick.proof.job;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;
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
	List<String> fetchTickets(EntryHostProcess host, int count) {
		JsonNode reply = this.client.send("POST", host.api(), "/v1/tickets", "{\"count\":" + count + "}", Map.of())
			.json();
		return StreamSupport.stream(reply.path("tickets").spliterator(), false).map(JsonNode::textValue).toList();
	}

	/**
	 * Writes the body of a job. Each payload holds its job's name and its place.
	 * @param job the name of the job
	 * @param shape the sizes
	 * @param extraMembers more members; those of {@code task} go into each task
	 * @return the body
	 */
	static String body(String job, Shape shape, Map<String, Object> extraMembers) {
		Map<String, Object> members = new TreeMap<>(
				Map.of("service", "meal-application", "team", "team", "deadline_ms", shape.deadlineMillis()));
		members.putAll(extraMembers);
		Object taskMembers = members.remove("task");
		members.put("tasks",
				IntStream.range(0, shape.taskCount())
					.mapToObj((index) -> task(job, index, shape, taskMembers))
					.toList());
		return ApiClient.write(members);
	}

	private static Map<String, Object> task(String job, int index, Shape shape, Object taskMembers) {
		Map<String, Object> task = new TreeMap<>(Map.of("kind", KIND, "payload", payload(job, index, shape)));
		if (taskMembers instanceof JsonNode fields) {
			fields.properties().forEach((field) -> task.put(field.getKey(), field.getValue()));
		}
		return task;
	}

	/**
	 * Reads the members of a JSON object.
	 * @param text the object
	 * @return the members
	 */
	static Map<String, Object> parseMembers(String text) {
		return ApiClient.read(text)
			.properties()
			.stream()
			.collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
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
	 * Asks for the answer of a job without waiting for the reply.
	 * @param host where to
	 * @param ticket the ticket
	 * @return the reply to come
	 */
	CompletableFuture<ApiClient.Reply> awaitOutcome(HostAddress host, String ticket) {
		return CompletableFuture
			.supplyAsync(() -> this.client.send("GET", host, "/v1/jobs/" + ticket + "?wait_ms=20000"), this.executor);
	}

	/**
	 * Sends a submission again and again until a whole reply tells how the job ended.
	 * @param host where to
	 * @param ticket the ticket
	 * @param body the body
	 * @return the last reply to come
	 */
	CompletableFuture<ApiClient.Reply> submitUntilFinal(HostAddress host, String ticket, String body) {
		return submit(host, ticket, body).thenCompose((reply) -> isPending(reply) ? submitUntilFinal(host, ticket, body)
				: CompletableFuture.completedFuture(reply));
	}

	private static boolean isPending(ApiClient.Reply reply) {
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
