package org.masticwick.proof.job;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.masticwick.proof.steps.World;
import org.masticwick.proof.support.ApiClient;

/**
 * A job of the current scenario with the replies to its requests.
 */
final class SubmittedJob {

	/** The maximum time to wait for a reply. */
	static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(40);

	/** The period for which a check observes that nothing further happens. */
	static final Duration QUIET_PERIOD = Duration.ofMillis(1000);

	private static final Map<String, SubmittedJob> JOBS = new TreeMap<>();

	private final String name;

	private final String ticket;

	private final JobCaller.Shape shape;

	private final String body;

	private final List<CompletableFuture<ApiClient.Reply>> replies = new CopyOnWriteArrayList<>();

	SubmittedJob(String name, String ticket, JobCaller.Shape shape, String body) {
		this.name = name;
		this.ticket = ticket;
		this.shape = shape;
		this.body = body;
		JOBS.put(name, this);
	}

	/**
	 * Returns a job of the current scenario.
	 * @param name the name of the job
	 * @return the job, or {@code null} if the scenario has none of this name
	 */
	static SubmittedJob byName(String name) {
		return JOBS.get(name);
	}

	/** Removes the jobs of the previous scenario. */
	static void clear() {
		JOBS.clear();
	}

	/**
	 * Waits for the reply to the latest request and returns it.
	 * @return the reply
	 */
	ApiClient.Reply latestReply() {
		return awaitReply(this.replies.get(this.replies.size() - 1));
	}

	/**
	 * Waits for the replies to all requests and returns them.
	 * @return the replies in the order of the requests
	 */
	List<ApiClient.Reply> allReplies() {
		return this.replies.stream().map(SubmittedJob::awaitReply).toList();
	}

	/**
	 * Waits for the replies to all requests except the first, whose connection may have
	 * been broken when a process was killed.
	 * @return the replies in the order of the requests
	 */
	List<ApiClient.Reply> repliesAfterFirst() {
		return this.replies.stream().skip(1).map(SubmittedJob::awaitReply).toList();
	}

	/**
	 * Counts the starts of the job's tasks at the workers of all failure domains.
	 * @return the counts by task id
	 */
	Map<String, Integer> startCounts() {
		Map<String, Integer> counts = new TreeMap<>();
		World.site()
			.domains()
			.forEach((domain) -> World.site()
				.workers(domain)
				.starts(this.ticket + ".")
				.forEach((task, count) -> counts.merge(task, count, Integer::sum)));
		return counts;
	}

	/**
	 * Adds a pending reply.
	 * @param reply the future reply
	 */
	void addReply(CompletableFuture<ApiClient.Reply> reply) {
		this.replies.add(reply);
	}

	String name() {
		return this.name;
	}

	String ticket() {
		return this.ticket;
	}

	JobCaller.Shape shape() {
		return this.shape;
	}

	String body() {
		return this.body;
	}

	private static ApiClient.Reply awaitReply(CompletableFuture<ApiClient.Reply> reply) {
		try {
			return reply.get(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException | TimeoutException | ExecutionException ex) {
			throw new AssertionError("no reply to the request", ex);
		}
	}

}
