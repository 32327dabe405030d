package org.masticwick.proof.job;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

import io.cucumber.java.After;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import org.masticwick.core.process.HostAddress;
import org.masticwick.proof.steps.World;
import org.masticwick.proof.support.ApiClient;
import org.masticwick.proof.support.EntryHostProcess;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Steps that send many jobs and cancellations concurrently.
 */
public class FloodSteps {

	private static final long SHUFFLE_SEED = 11;

	private static final int LONG_DEADLINE_MILLIS = 600_000;

	private final JobSet jobs = new JobSet();

	private Map<String, Integer> initialTotals;

	/** Stops the threads that send requests. */
	@After(order = 10)
	public void closeJobs() {
		this.jobs.close();
	}

	/**
	 * Submits many jobs and checks that each is accepted, without waiting for completion.
	 * @param count the number of jobs
	 * @param taskCount the number of tasks of each job
	 * @param runMillis the run time of each task, in milliseconds
	 * @param host the entry host that issues the tickets and receives the jobs
	 */
	@When("{int} jobs of {int} tasks of {int} ms are submitted to {word} without waiting")
	public void jobsAreSubmitted(int count, int taskCount, int runMillis, String host) {
		EntryHostProcess issuer = World.host(host);
		this.initialTotals = World.site().workers(issuer.domain()).totals();
		this.jobs.addAll(createJobs(issuer, count, new JobCaller.Shape(taskCount, runMillis, LONG_DEADLINE_MILLIS)));
		this.jobs.sendAll(this.jobs.jobs(),
				(job) -> send("PUT", issuer.api(), job.ticket() + "?wait_ms=1", job.body()));
		assertThat(this.jobs.jobs()).allSatisfy((job) -> assertThat(job.replies().get(0).status()).isEqualTo(202));
	}

	private static List<JobSet.BulkJob> createJobs(EntryHostProcess issuer, int count, JobCaller.Shape shape) {
		List<String> tickets = new ArrayList<>();
		while (tickets.size() < count) {
			tickets.addAll(
					new JobCaller(World.site().client()).fetchTickets(issuer, Math.min(500, count - tickets.size())));
		}
		return IntStream.range(0, count)
			.mapToObj((index) -> new JobSet.BulkJob("job" + index, tickets.get(index), shape))
			.toList();
	}

	private static ApiClient.Reply send(String method, HostAddress host, String pathSuffix, String body) {
		return World.site().client().send(method, host, "/v1/jobs/" + pathSuffix, body, Map.of());
	}

	/**
	 * Waits until tasks of the jobs have started.
	 * @param count the minimum number of started tasks
	 */
	@When("{int} tasks of the jobs were started")
	public void tasksWereStarted(int count) {
		await().atMost(SubmittedJob.ANSWER_TIMEOUT).until(() -> JobSet.startCounts().size() >= count);
	}

	/**
	 * Cancels the jobs concurrently, in random order.
	 * @param host the entry host
	 */
	@When("the jobs are cancelled in a wave at {word}")
	public void jobsAreCancelled(String host) {
		List<JobSet.BulkJob> shuffledJobs = new ArrayList<>(this.jobs.jobs());
		Collections.shuffle(shuffledJobs, new Random(SHUFFLE_SEED));
		this.jobs.sendAll(shuffledJobs, (job) -> send("DELETE", World.host(host).api(), job.ticket(), ""));
	}

	/** Checks the answers to the cancellations, also during the quiet period. */
	@Then("each job is answered as cancelled, and none that was told not to have run was started")
	public void eachJobIsCancelled() {
		assertThat(this.jobs.jobs()).allSatisfy(
				(job) -> assertThat(JobSet.BulkJob.code(job.finalReply())).isIn("cancelled", "cancelled-after-start"));
		await().during(SubmittedJob.QUIET_PERIOD)
			.atMost(SubmittedJob.QUIET_PERIOD.multipliedBy(5))
			.untilAsserted(() -> this.jobs.assertAnswers(true));
	}

	/**
	 * Waits until the workers run no tasks.
	 * @param domain the failure domain
	 */
	@Then("the workers of {word} run nothing")
	public void workersRunNothing(String domain) {
		await().atMost(SubmittedJob.QUIET_PERIOD.multipliedBy(5))
			.untilAsserted(() -> assertThat(World.site().workers(domain).describe())
				.allSatisfy((worker) -> assertThat(worker.path("running").intValue()).isZero()));
	}

	/**
	 * Checks that cancellations of tasks are batched into few messages to the workers.
	 * @param domain the failure domain
	 * @param taskCount the minimum average number of tasks cancelled by one message
	 */
	@Then("the workers of {word} got at most one cancellation for {int} tasks")
	public void cancellationsAreBatched(String domain, int taskCount) {
		Map<String, Integer> totals = World.site().workers(domain).totals();
		int messageCount = totals.get("cancels") - this.initialTotals.get("cancels");
		int cancelledTaskCount = totals.get("cancelled_tasks") - this.initialTotals.get("cancelled_tasks");
		System.out.println("Cancellation wave: cancelled_tasks=" + cancelledTaskCount + " messages=" + messageCount);
		assertThat(messageCount).as("messages for " + cancelledTaskCount + " tasks")
			.isBetween(1, cancelledTaskCount / taskCount);
	}

	/**
	 * Submits many jobs concurrently, each twice, to the entry hosts of all failure
	 * domains.
	 * @param count the number of jobs
	 * @param taskCount the number of tasks of each job
	 * @param runMillis the run time of each task, in milliseconds
	 */
	@When("a burst of {int} jobs of {int} tasks of {int} ms comes to all hosts, each job to two of them")
	public void burstIsSubmitted(int count, int taskCount, int runMillis) {
		List<EntryHostProcess> hosts = World.site()
			.domains()
			.stream()
			.flatMap((domain) -> World.site().entryHosts(domain).stream())
			.toList();
		JobCaller.Shape shape = new JobCaller.Shape(taskCount, runMillis, 20_000);
		hosts.forEach((host) -> this.jobs.addAll(createJobs(host, count / hosts.size(), shape)));
		List<JobSet.BulkJob> submissions = new ArrayList<>(this.jobs.jobs());
		submissions.addAll(this.jobs.jobs());
		Random random = new Random(SHUFFLE_SEED);
		Collections.shuffle(submissions, random);
		this.jobs.sendAll(submissions,
				(job) -> send("PUT",
						hosts.get(Math.floorMod(job.hashCode() + job.replies().size(), hosts.size())).api(),
						job.ticket(), job.body()));
	}

	/** Checks the answers to a burst. */
	@Then("each job is answered complete, or refused without a start")
	public void eachJobIsCompleteOrRefused() {
		this.jobs.assertAnswers(false);
		System.out.println("Burst: jobs=" + this.jobs.jobs().size() + " complete="
				+ this.jobs.jobs().stream().filter((job) -> job.finalReply().status() == 200).count());
	}

	/**
	 * Submits random jobs while injecting random faults.
	 * @param seconds the duration
	 * @param seed the seed of the faults and of the jobs
	 */
	@When("jobs and faults come at random for {int} s with seed {long}")
	public void randomRunIsExecuted(int seconds, long seed) {
		System.out.println("Random run: seed=" + seed + " seconds=" + seconds);
		new RandomRun(this.jobs, seed).run(seconds);
	}

	/** Checks the answers of a random run. */
	@Then("each job is answered complete, failed, or refused without a start")
	public void eachJobIsAnswered() {
		this.jobs.assertAnswers(true);
	}

}
