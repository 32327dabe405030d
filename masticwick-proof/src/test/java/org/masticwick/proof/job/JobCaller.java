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
 * HTTP caller that submits jobs and checks that an answer is complete and belongs to the
 * job.
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
	 * @param host the entry host that issues them
	 * @param count the number of tickets
	 * @return the tickets
	 */
	List<String> fetchTickets(EntryHostProcess host, int count) {
		JsonNode reply = this.client.send("POST", host.api(), "/v1/tickets", "{\"count\":" + count + "}", Map.of())
			.json();
		return StreamSupport.stream(reply.path("tickets").spliterator(), false).map(JsonNode::textValue).toList();
	}

	/**
	 * Returns the JSON body of a job. Each payload contains the name of the job and the
	 * index of the task, so that results can be attributed.
	 * @param job the name of the job
	 * @param shape the size and deadline of the job
	 * @param extraMembers additional members; those of {@code task} are added to each
	 * task
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
	 * Parses the members of a JSON object.
	 * @param text the JSON object
	 * @return the values by member name
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
	 * Submits a job asynchronously.
	 * @param host the API address of the entry host
	 * @param ticket the ticket
	 * @param body the body
	 * @return the future reply
	 */
	CompletableFuture<ApiClient.Reply> submit(HostAddress host, String ticket, String body) {
		return CompletableFuture.supplyAsync(() -> this.client.send("PUT", host, "/v1/jobs/" + ticket, body, Map.of()),
				this.executor);
	}

	/**
	 * Cancels a job asynchronously.
	 * @param host the API address of the entry host
	 * @param ticket the ticket
	 * @return the future reply
	 */
	CompletableFuture<ApiClient.Reply> cancel(HostAddress host, String ticket) {
		return CompletableFuture.supplyAsync(() -> this.client.send("DELETE", host, "/v1/jobs/" + ticket),
				this.executor);
	}

	/**
	 * Queries the outcome of a job asynchronously; the host delays its reply until the
	 * job terminates, for at most 20 s.
	 * @param host the API address of the entry host
	 * @param ticket the ticket
	 * @return the future reply
	 */
	CompletableFuture<ApiClient.Reply> awaitOutcome(HostAddress host, String ticket) {
		return CompletableFuture
			.supplyAsync(() -> this.client.send("GET", host, "/v1/jobs/" + ticket + "?wait_ms=20000"), this.executor);
	}

	/**
	 * Resubmits a job until a reply contains its final outcome.
	 * @param host the API address of the entry host
	 * @param ticket the ticket
	 * @param body the body
	 * @return the future final reply
	 */
	CompletableFuture<ApiClient.Reply> submitUntilFinal(HostAddress host, String ticket, String body) {
		return submit(host, ticket, body).thenCompose((reply) -> isPending(reply) ? submitUntilFinal(host, ticket, body)
				: CompletableFuture.completedFuture(reply));
	}

	private static boolean isPending(ApiClient.Reply reply) {
		return reply.status() == 202 || reply.json().path("code").asText().equals("outcome-unknown");
	}

	/**
	 * Checks that an answer is complete and that each result belongs to this job and
	 * task.
	 * @param reply the answer
	 * @param ticket the ticket
	 * @param job the name of the job
	 * @param shape the size and deadline of the job
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
	 * The size and deadline of a job.
	 *
	 * @param taskCount the number of tasks
	 * @param runMillis the run time of each task, in milliseconds
	 * @param deadlineMillis the deadline, in milliseconds from the submission
	 */
	record Shape(int taskCount, long runMillis, long deadlineMillis) {

	}

}
