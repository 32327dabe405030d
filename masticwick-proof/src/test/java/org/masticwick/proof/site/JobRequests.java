package org.masticwick.proof.site;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.masticwick.core.process.HostAddress;
import org.masticwick.proof.support.ApiClient;

/**
 * Requests for tickets and jobs at entry hosts.
 */
final class JobRequests {

	private static final int DEADLINE_MILLIS = 30_000;

	private JobRequests() {
	}

	/**
	 * Fetches a ticket.
	 * @param client the HTTP client
	 * @param host the API address of the entry host
	 * @return the ticket
	 * @throws IllegalStateException if the host issues none
	 */
	static String fetchTicket(ApiClient client, HostAddress host) {
		ApiClient.Reply reply = client.send("POST", host, "/v1/tickets", "{\"count\":1}", Map.of());
		if (reply.status() != 201) {
			throw new IllegalStateException("No ticket: " + reply);
		}
		return reply.json().path("tickets").path(0).textValue();
	}

	/**
	 * Returns the JSON body of a job.
	 * @param taskCount the number of tasks
	 * @param runMillis the run time of each task, in milliseconds
	 * @return the body
	 */
	static String body(int taskCount, int runMillis) {
		List<Map<String, Object>> tasks = IntStream.range(0, taskCount)
			.<Map<String, Object>>mapToObj(
					(index) -> Map.of("kind", "check", "payload", "{\"run_ms\":" + runMillis + ",\"n\":" + index + "}"))
			.toList();
		return ApiClient.write(
				Map.of("service", "meal-application", "team", "team", "deadline_ms", DEADLINE_MILLIS, "tasks", tasks));
	}

	/**
	 * Submits a job and waits for its answer.
	 * @param client the HTTP client
	 * @param host the API address of the entry host
	 * @param ticket the ticket
	 * @param body the body
	 * @return the answer
	 */
	static ApiClient.Reply submit(ApiClient client, HostAddress host, String ticket, String body) {
		return client.send("PUT", host, "/v1/jobs/" + ticket, body, Map.of());
	}

	/**
	 * Returns whether an answer is complete.
	 * @param reply the answer
	 * @param taskCount the expected number of results
	 * @return {@code true} if the job is complete and has this many results
	 */
	static boolean isComplete(ApiClient.Reply reply, int taskCount) {
		return reply.status() == 200 && "complete".equals(reply.json().path("outcome").textValue())
				&& reply.json().path("results").size() == taskCount;
	}

}
