package org.masticwick.proof.job;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import org.masticwick.proof.steps.World;
import org.masticwick.proof.support.ApiClient;
import org.masticwick.proof.support.StandinWorkers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Submits jobs and checks their answers and the counts of starts.
 */
public class JobSteps {

	private static final long ANSWER_SECONDS = 40;

	private final Map<String, SubmittedJob> jobs = new LinkedHashMap<>();

	/**
	 * Submits a job under a ticket of the host that it is sent to.
	 * @param name the name of the job
	 * @param taskCount how many tasks
	 * @param runMillis how long each runs
	 * @param deadlineMillis how long the caller waits
	 * @param host the entry host
	 */
	@When("job {word} of {int} tasks of {int} ms within {int} ms is submitted to {word}")
	public void jobIsSubmitted(String name, int taskCount, int runMillis, int deadlineMillis, String host) {
		JobCaller caller = new JobCaller(World.site().client());
		SubmittedJob job = new SubmittedJob(name, caller.tickets(World.host(host), 1).get(0),
				new JobCaller.Shape(taskCount, runMillis, deadlineMillis));
		this.jobs.put(name, job);
		job.answer = caller.submit(World.host(host).api(), job.ticket, job.body);
	}

	/**
	 * Submits a job again.
	 * @param name the name of the job
	 * @param host the entry host
	 */
	@When("job {word} is submitted again to {word}")
	public void jobIsSubmittedAgain(String name, String host) {
		SubmittedJob job = this.jobs.get(name);
		job.again = new JobCaller(World.site().client()).submit(World.host(host).api(), job.ticket, job.body);
	}

	/**
	 * Waits until tasks were started.
	 * @param count how many
	 * @param name the name of the job
	 */
	@When("{int} tasks of job {word} were started")
	public void tasksWereStarted(int count, String name) {
		await().atMost(ANSWER_SECONDS, TimeUnit.SECONDS)
			.untilAsserted(() -> assertThat(starts(name)).hasSizeGreaterThanOrEqualTo(count));
	}

	/**
	 * Checks the first answer of a job.
	 * @param name the name of the job
	 */
	@Then("job {word} is answered complete")
	public void jobIsAnsweredComplete(String name) {
		SubmittedJob job = this.jobs.get(name);
		JobCaller.assertComplete(get(job.answer), job.ticket, name, job.shape);
	}

	/**
	 * Checks the answer to the second submission of a job.
	 * @param name the name of the job
	 */
	@Then("the second submission of job {word} is answered complete")
	public void theSecondSubmissionIsAnsweredComplete(String name) {
		SubmittedJob job = this.jobs.get(name);
		JobCaller.assertComplete(get(job.again), job.ticket, name, job.shape);
	}

	/**
	 * Checks how many tasks of a job were started, each once.
	 * @param count how many
	 * @param name the name of the job
	 */
	@Then("{int} tasks of job {word} were started once")
	public void tasksWereStartedOnce(int count, String name) {
		assertThat(starts(name)).hasSize(count).allSatisfy((task, starts) -> assertThat(starts).as(task).isEqualTo(1));
	}

	private Map<String, Integer> starts(String name) {
		Map<String, Integer> counts = new LinkedHashMap<>();
		String prefix = this.jobs.get(name).ticket + ".";
		World.site().domains().forEach((domain) -> {
			StandinWorkers workers = World.site().workers(domain);
			workers.starts(prefix).forEach((task, count) -> counts.merge(task, count, Integer::sum));
		});
		return counts;
	}

	private static ApiClient.Reply get(CompletableFuture<ApiClient.Reply> reply) {
		try {
			return reply.get(ANSWER_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException | TimeoutException | ExecutionException ex) {
			throw new AssertionError("No answer", ex);
		}
	}

	/**
	 * Is a job of the scenario.
	 */
	private static final class SubmittedJob {

		private final String ticket;

		private final JobCaller.Shape shape;

		private final String body;

		private CompletableFuture<ApiClient.Reply> answer;

		private CompletableFuture<ApiClient.Reply> again;

		private SubmittedJob(String name, String ticket, JobCaller.Shape shape) {
			this.ticket = ticket;
			this.shape = shape;
			this.body = JobCaller.body(name, shape);
		}

	}

}
