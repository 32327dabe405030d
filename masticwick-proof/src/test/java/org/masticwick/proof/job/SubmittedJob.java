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
 * Is a job of the scenario that runs, with the replies to its submissions.
 */
final class SubmittedJob {

	/** How long an answer may take at most. */
	static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(40);

	/** How long to look on when nothing must happen any more. */
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
	 * Returns a job of the scenario.
	 * @param name the name of the job
	 * @return the job
	 */
	static SubmittedJob byName(String name) {
		return JOBS.get(name);
	}

	/** Forgets the jobs of the scenario before. */
	static void clear() {
		JOBS.clear();
	}

	/**
	 * Returns the latest reply, when it has come.
	 * @return the reply
	 */
	ApiClient.Reply latestReply() {
		return awaitReply(this.replies.get(this.replies.size() - 1));
	}

	/**
	 * Returns all replies, when they have come.
	 * @return the replies in the order of the submissions
	 */
	List<ApiClient.Reply> allReplies() {
		return this.replies.stream().map(SubmittedJob::awaitReply).toList();
	}

	/**
	 * Returns all replies but the first, whose connection a kill may have cut.
	 * @return the replies in the order of the submissions
	 */
	List<ApiClient.Reply> repliesAfterFirst() {
		return this.replies.stream().skip(1).map(SubmittedJob::awaitReply).toList();
	}

	/**
	 * Counts the starts of its tasks over all failure domains.
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
	 * Adds a reply to come.
	 * @param reply the reply
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
			throw new AssertionError("No answer", ex);
		}
	}

}
