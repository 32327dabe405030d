package org.masticwick.proof.site;

import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import org.masticwick.core.process.HostAddress;
import org.masticwick.proof.support.ApiClient;
import org.masticwick.proof.support.Site;

/**
 * Submits jobs continuously through a balancer; each caller has one job at a time.
 */
final class Callers implements AutoCloseable {

	private static final int TASK_COUNT_MAX = 4;

	private static final int RUN_MILLIS_MIN = 20;

	private static final int RUN_MILLIS_MAX = 200;

	private static final Duration TIMEOUT = Duration.ofSeconds(45);

	private final ApiClient client = new ApiClient(TIMEOUT);

	private final AtomicInteger completeCount = new AtomicInteger();

	private final Map<String, Integer> problemCounts = new ConcurrentHashMap<>();

	private final Queue<String> problemBodies = new ConcurrentLinkedQueue<>();

	private final Queue<String> requestFailures = new ConcurrentLinkedQueue<>();

	private final Balancer balancer;

	private final List<Thread> threads;

	private volatile boolean closing;

	/**
	 * Starts callers.
	 * @param site the site
	 * @param domains the failure domains whose entry hosts receive the requests
	 * @param count the number of callers
	 * @param lag the delay until the balancer detects that a host is not ready
	 * @param seed the seed of the job sizes and of the selection of hosts
	 */
	Callers(Site site, List<String> domains, int count, Duration lag, long seed) {
		this.balancer = new Balancer(site, domains, lag);
		this.threads = IntStream.range(0, count)
			.mapToObj((index) -> new Thread(() -> run(new Random(seed + index)), "caller-" + index))
			.toList();
		this.threads.forEach(Thread::start);
	}

	int completeCount() {
		return this.completeCount.get();
	}

	/**
	 * Returns the number of incomplete answers.
	 * @return the counts by problem code; {@code partial} if an answer has none
	 */
	Map<String, Integer> problemCounts() {
		return Map.copyOf(this.problemCounts);
	}

	/**
	 * Returns the incomplete answers.
	 * @return the response bodies
	 */
	List<String> problemBodies() {
		return List.copyOf(this.problemBodies);
	}

	/**
	 * Returns the failures of requests that got no ticket or no whole response.
	 * @return the messages and causes of the exceptions
	 */
	List<String> requestFailures() {
		return List.copyOf(this.requestFailures);
	}

	/** Stops the callers after their current jobs. */
	@Override
	public void close() {
		this.closing = true;
		this.threads.forEach(Callers::join);
		this.balancer.close();
		this.client.close();
	}

	private void run(Random random) {
		try {
			while (!this.closing) {
				post(random);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void post(Random random) throws InterruptedException {
		int taskCount = 1 + random.nextInt(TASK_COUNT_MAX);
		String body = JobRequests.body(taskCount, RUN_MILLIS_MIN + random.nextInt(RUN_MILLIS_MAX - RUN_MILLIS_MIN));
		HostAddress host = this.balancer.choose(random);
		try {
			String ticket = JobRequests.fetchTicket(this.client, host);
			ApiClient.Reply reply = JobRequests.submit(this.client, this.balancer.choose(random), ticket, body);
			if (JobRequests.isComplete(reply, taskCount)) {
				this.completeCount.incrementAndGet();
			}
			else {
				this.problemCounts.merge(reply.json().path("code").asText("partial"), 1, Integer::sum);
				this.problemBodies.add(reply.body());
			}
		}
		catch (UncheckedIOException | IllegalStateException ex) {
			this.requestFailures.add(ex.getMessage() + ": " + ex.getCause());
			Thread.sleep(RUN_MILLIS_MAX);
		}
	}

	private static void join(Thread thread) {
		try {
			thread.join(TIMEOUT.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
