package org.masticwick.proof.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Function;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;

import org.masticwick.proof.steps.World;
import org.masticwick.proof.support.ApiClient;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A set of jobs that are sent concurrently, with all replies received for each.
 */
final class JobSet implements AutoCloseable {

	private static final int THREAD_COUNT = 64;

	private final ExecutorService executor = Executors.newFixedThreadPool(THREAD_COUNT);

	private final List<BulkJob> jobs = new CopyOnWriteArrayList<>();

	/**
	 * Adds jobs.
	 * @param newJobs the jobs to add
	 */
	void addAll(List<BulkJob> newJobs) {
		this.jobs.addAll(newJobs);
	}

	List<BulkJob> jobs() {
		return List.copyOf(this.jobs);
	}

	/**
	 * Sends one request for each job, with up to 64 requests in flight, and waits for the
	 * replies.
	 * @param orderedJobs the jobs in the order of the requests
	 * @param request sends the request and returns the reply, or {@code null} if none was
	 * received
	 */
	void sendAll(List<BulkJob> orderedJobs, Function<BulkJob, ApiClient.Reply> request) {
		List<CompletableFuture<Void>> pendingReplies = orderedJobs.stream()
			.map((job) -> sendAsync(() -> request.apply(job)).thenAccept(job::addReply))
			.toList();
		pendingReplies.forEach(CompletableFuture::join);
	}

	CompletableFuture<ApiClient.Reply> sendAsync(Supplier<ApiClient.Reply> request) {
		return CompletableFuture.supplyAsync(request, this.executor);
	}

	/**
	 * Checks all replies of all jobs.
	 * @param failureAllowed whether a final reply may report a failure after task starts
	 */
	void assertAnswers(boolean failureAllowed) {
		Map<String, Integer> starts = startCounts();
		this.jobs.forEach((job) -> job.assertAnswers(starts, failureAllowed));
	}

	/**
	 * Counts the starts of all tasks at the workers of all failure domains.
	 * @return the counts by task id
	 */
	static Map<String, Integer> startCounts() {
		Map<String, Integer> counts = new HashMap<>();
		World.site()
			.domains()
			.forEach((domain) -> World.site()
				.workers(domain)
				.starts("")
				.forEach((task, count) -> counts.merge(task, count, Integer::sum)));
		return counts;
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	/**
	 * A job with the replies received so far.
	 *
	 * @param name the name
	 * @param ticket the ticket
	 * @param shape the size and deadline of the job
	 * @param replies the replies in the order of receipt
	 */
	record BulkJob(String name, String ticket, JobCaller.Shape shape, List<ApiClient.Reply> replies) {

		BulkJob(String name, String ticket, JobCaller.Shape shape) {
			this(name, ticket, shape, new CopyOnWriteArrayList<>());
		}

		void addReply(ApiClient.Reply reply) {
			if (reply != null) {
				this.replies.add(reply);
			}
		}

		String body() {
			return JobCaller.body(this.name, this.shape, Map.of());
		}

		/**
		 * Returns the last reply with a final outcome.
		 * @return the reply, or {@code null} if none was received
		 */
		ApiClient.Reply finalReply() {
			return this.replies.stream()
				.filter((reply) -> reply.status() != 202 && !code(reply).equals("outcome-unknown"))
				.reduce((first, second) -> second)
				.orElse(null);
		}

		void assertAnswers(Map<String, Integer> starts, boolean failureAllowed) {
			assertThat(finalReply()).as("final reply to " + this.ticket + ": " + this.replies).isNotNull();
			this.replies.stream().filter(Objects::nonNull).forEach((reply) -> assertAnswer(reply, starts));
			assertThat(failureAllowed || !ran(finalReply()).equals("yes")).as(finalReply().toString()).isTrue();
		}

		private void assertAnswer(ApiClient.Reply reply, Map<String, Integer> starts) {
			if (reply.status() == 200) {
				JobCaller.assertComplete(reply, this.ticket, this.name, this.shape);
			}
			else if (ran(reply).equals("no")) {
				assertThat(starts.keySet()).as(reply.toString())
					.noneMatch((task) -> task.startsWith(this.ticket + "."));
			}
			else {
				assertThat(reply.json().has("results")).as(reply.toString()).isFalse();
			}
		}

		static String code(ApiClient.Reply reply) {
			return reply.json().path("code").asText();
		}

		static String ran(ApiClient.Reply reply) {
			JsonNode ran = reply.json().path("ran");
			return ran.asText();
		}

	}

}
