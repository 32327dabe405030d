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
 * Sends many jobs and cancellations at once.
 */
public class FloodSteps {

	private static final long WAVE_SEED = 11;

	private static final int LONG_DEADLINE_MILLIS = 600_000;

	private final JobSet jobs = new JobSet();

	private Map<String, Integer> totalsBefore;

	/** Ends the callers. */
	@After(order = 10)
	public void endCallers() {
		this.jobs.close();
	}

	/**
	 * Submits many jobs without waiting for their answers.
	 * @param count how many jobs
	 * @param taskCount how many tasks each
	 * @param runMillis how long each task runs
	 * @param host the entry host
	 */
	@When("{int} jobs of {int} tasks of {int} ms are submitted to {word} without waiting")
	public void jobsAreSubmitted(int count, int taskCount, int runMillis, String host) {
		EntryHostProcess home = World.host(host);
		this.totalsBefore = World.site().workers(home.domain()).totals();
		this.jobs.addAll(members(home, count, new JobCaller.Shape(taskCount, runMillis, LONG_DEADLINE_MILLIS)));
		this.jobs.forEach(this.jobs.members(),
				(job) -> send("PUT", home.api(), job.ticket() + "?wait_ms=1", job.body()));
		assertThat(this.jobs.members()).allSatisfy((job) -> assertThat(job.replies().get(0).status()).isEqualTo(202));
	}

	private static List<JobSet.Member> members(EntryHostProcess home, int count, JobCaller.Shape shape) {
		List<String> tickets = new ArrayList<>();
		while (tickets.size() < count) {
			tickets.addAll(new JobCaller(World.site().client()).tickets(home, Math.min(500, count - tickets.size())));
		}
		return IntStream.range(0, count)
			.mapToObj((index) -> new JobSet.Member("job" + index, tickets.get(index), shape))
			.toList();
	}

	private static ApiClient.Reply send(String method, HostAddress host, String rest, String body) {
		return World.site().client().send(method, host, "/v1/jobs/" + rest, body, Map.of());
	}

	/**
	 * Waits until tasks were started.
	 * @param count how many at least
	 */
	@When("{int} tasks of the jobs were started")
	public void tasksWereStarted(int count) {
		await().atMost(SubmittedJob.ANSWER_TIMEOUT).until(() -> JobSet.allStarts().size() >= count);
	}

	/**
	 * Cancels the jobs, many at once and in random order.
	 * @param host the entry host
	 */
	@When("the jobs are cancelled in a wave at {word}")
	public void jobsAreCancelled(String host) {
		List<JobSet.Member> order = new ArrayList<>(this.jobs.members());
		Collections.shuffle(order, new Random(WAVE_SEED));
		this.jobs.forEach(order, (job) -> send("DELETE", World.host(host).api(), job.ticket(), ""));
	}

	/** Checks the answers to the cancellations, also a while later. */
	@Then("each job is answered as cancelled, and none that was told not to have run was started")
	public void eachJobIsCancelled() {
		assertThat(this.jobs.members()).allSatisfy(
				(job) -> assertThat(JobSet.Member.code(job.ended())).isIn("cancelled", "cancelled-after-start"));
		await().during(SubmittedJob.QUIET)
			.atMost(SubmittedJob.QUIET.multipliedBy(5))
			.untilAsserted(() -> this.jobs.assertAnswers(true));
	}

	/**
	 * Waits until the workers run nothing.
	 * @param domain the failure domain
	 */
	@Then("the workers of {word} run nothing")
	public void workersRunNothing(String domain) {
		await().atMost(SubmittedJob.QUIET.multipliedBy(5))
			.untilAsserted(() -> assertThat(World.site().workers(domain).describe())
				.allSatisfy((worker) -> assertThat(worker.path("running").intValue()).isZero()));
	}

	/**
	 * Checks how many cancellations the workers got for the tasks that were cancelled.
	 * @param domain the failure domain
	 * @param taskCount how many tasks a message must have cancelled on average at least
	 */
	@Then("the workers of {word} got at most one cancellation for {int} tasks")
	public void cancellationsAreBatched(String domain, int taskCount) {
		Map<String, Integer> totals = World.site().workers(domain).totals();
		int messages = totals.get("cancels") - this.totalsBefore.get("cancels");
		int cancelled = totals.get("cancelled_tasks") - this.totalsBefore.get("cancelled_tasks");
		System.out.println("Cancellation wave: cancelled_tasks=" + cancelled + " messages=" + messages);
		assertThat(messages).as("messages for " + cancelled + " tasks").isBetween(1, cancelled / taskCount);
	}

	/**
	 * Submits many jobs at once, each to two hosts.
	 * @param count how many jobs
	 * @param taskCount how many tasks each
	 * @param runMillis how long each task runs
	 */
	@When("a burst of {int} jobs of {int} tasks of {int} ms comes to all hosts, each job to two of them")
	public void burstComes(int count, int taskCount, int runMillis) {
		List<EntryHostProcess> hosts = World.site()
			.domains()
			.stream()
			.flatMap((domain) -> World.site().entryHosts(domain).stream())
			.toList();
		JobCaller.Shape shape = new JobCaller.Shape(taskCount, runMillis, 20_000);
		hosts.forEach((host) -> this.jobs.addAll(members(host, count / hosts.size(), shape)));
		List<JobSet.Member> twice = new ArrayList<>(this.jobs.members());
		twice.addAll(this.jobs.members());
		Random random = new Random(WAVE_SEED);
		Collections.shuffle(twice, random);
		this.jobs.forEach(twice,
				(job) -> send("PUT",
						hosts.get(Math.floorMod(job.hashCode() + job.replies().size(), hosts.size())).api(),
						job.ticket(), job.body()));
	}

	/** Checks the answers to a burst. */
	@Then("each job is answered complete, or refused without a start")
	public void eachJobIsCompleteOrRefused() {
		this.jobs.assertAnswers(false);
		System.out.println("Burst: jobs=" + this.jobs.members().size() + " complete="
				+ this.jobs.members().stream().filter((job) -> job.ended().status() == 200).count());
	}

	/**
	 * Lets jobs and faults come at random.
	 * @param seconds for how long
	 * @param seed the seed of the faults and of the jobs
	 */
	@When("jobs and faults come at random for {int} s with seed {long}")
	public void jobsAndFaultsComeAtRandom(int seconds, long seed) {
		System.out.println("Random run: seed=" + seed + " seconds=" + seconds);
		new RandomRun(this.jobs, seed).run(seconds);
	}

	/** Checks the answers of a random run. */
	@Then("each job is answered complete, failed, or refused without a start")
	public void eachJobIsAnswered() {
		this.jobs.assertAnswers(true);
	}

}
