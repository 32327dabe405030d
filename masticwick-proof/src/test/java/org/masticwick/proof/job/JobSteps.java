package org.masticwick.proof.job;

import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.cucumber.java.After;
import io.cucumber.java.Before;
import io.cucumber.java.en.When;

import org.masticwick.core.process.HostAddress;
import org.masticwick.proof.steps.World;
import org.masticwick.proof.support.ApiClient;
import org.masticwick.proof.support.Site;
import org.masticwick.proof.support.TcpRelay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.awaitility.Awaitility.await;

/**
 * Steps that submit, resubmit, query and cancel jobs.
 */
public class JobSteps {

	private static final Duration DISCONNECT_TIMEOUT = Duration.ofMillis(500);

	private JobCaller caller;

	private TcpRelay callerRelay;

	/** Removes the jobs of the previous scenario. */
	@Before
	public void clearJobs() {
		SubmittedJob.clear();
	}

	/** Closes the relay between the caller and the entry host. */
	@After(order = 10)
	public void closeRelay() {
		if (this.callerRelay != null) {
			this.callerRelay.close();
		}
	}

	/**
	 * Submits a job under a ticket issued by the host that receives it.
	 * @param name the name of the job
	 * @param taskCount the number of tasks
	 * @param runMillis the run time of each task, in milliseconds
	 * @param deadlineMillis the deadline, in milliseconds
	 * @param host the entry host
	 */
	@When("job {word} of {int} tasks of {int} ms within {int} ms is submitted to {word}")
	public void jobIsSubmitted(String name, int taskCount, int runMillis, int deadlineMillis, String host) {
		submit(name, new JobCaller.Shape(taskCount, runMillis, deadlineMillis), Map.of(), host);
	}

	/**
	 * Submits a job with additional members in its body.
	 * @param name the name of the job
	 * @param taskCount the number of tasks
	 * @param runMillis the run time of each task, in milliseconds
	 * @param deadlineMillis the deadline, in milliseconds
	 * @param extraMembers the members as a JSON object; those of {@code task} are added
	 * to each task
	 * @param host the entry host
	 */
	@When("job {word} of {int} tasks of {int} ms within {int} ms with {} is submitted to {word}")
	public void jobWithExtraMembersIsSubmitted(String name, int taskCount, int runMillis, int deadlineMillis,
			String extraMembers, String host) {
		Map<String, Object> members = JobCaller.parseMembers(extraMembers);
		submit(name, new JobCaller.Shape(taskCount, runMillis, deadlineMillis), members, host);
	}

	private void submit(String name, JobCaller.Shape shape, Map<String, Object> extraMembers, String host) {
		String ticket = caller().fetchTickets(World.host(host), 1).get(0);
		SubmittedJob job = new SubmittedJob(name, ticket, shape, JobCaller.body(name, shape, extraMembers));
		job.addReply(caller().submit(World.host(host).api(), ticket, job.body()));
	}

	/**
	 * Resubmits a job.
	 * @param name the name of the job
	 * @param host the entry host
	 */
	@When("job {word} is submitted again to {word}")
	public void jobIsSubmittedAgain(String name, String host) {
		SubmittedJob job = SubmittedJob.byName(name);
		job.addReply(caller().submit(World.host(host).api(), job.ticket(), job.body()));
	}

	/**
	 * Resubmits a job until the reply contains its final outcome.
	 * @param name the name of the job
	 * @param host the entry host
	 */
	@When("job {word} is submitted to {word} until it has ended")
	public void jobIsSubmittedUntilItHasEnded(String name, String host) {
		SubmittedJob job = SubmittedJob.byName(name);
		job.addReply(caller().submitUntilFinal(World.host(host).api(), job.ticket(), job.body()));
	}

	/**
	 * Queries the outcome of a job by its ticket, without resubmitting the body.
	 * @param name the name of the job
	 * @param host the entry host
	 */
	@When("the state of job {word} is asked of {word}")
	public void stateIsRequested(String name, String host) {
		SubmittedJob job = SubmittedJob.byName(name);
		job.addReply(caller().awaitOutcome(World.host(host).api(), job.ticket()));
	}

	/**
	 * Cancels a job.
	 * @param name the name of the job
	 * @param host the entry host
	 */
	@When("job {word} is cancelled at {word}")
	public void jobIsCancelled(String name, String host) {
		SubmittedJob job = SubmittedJob.byName(name);
		job.addReply(caller().cancel(World.host(host).api(), job.ticket()));
	}

	/**
	 * Cancels the job of a ticket and waits for the reply, so that no later request can
	 * overtake the cancellation.
	 * @param name the name of the job
	 * @param host the entry host
	 */
	@When("the ticket of job {word} has been cancelled at {word}")
	public void ticketHasBeenCancelled(String name, String host) {
		SubmittedJob job = SubmittedJob.byName(name);
		CompletableFuture<ApiClient.Reply> answer = caller().cancel(World.host(host).api(), job.ticket());
		job.addReply(answer);
		answer.join();
	}

	/**
	 * Fetches the ticket for a job that a later step submits.
	 * @param name the name of the job
	 * @param taskCount the number of tasks
	 * @param runMillis the run time of each task, in milliseconds
	 * @param host the entry host
	 */
	@When("a ticket for job {word} of {int} tasks of {int} ms is fetched from {word}")
	public void ticketIsFetched(String name, int taskCount, int runMillis, String host) {
		JobCaller.Shape shape = new JobCaller.Shape(taskCount, runMillis, 20_000);
		String ticket = caller().fetchTickets(World.host(host), 1).get(0);
		SubmittedJob job = new SubmittedJob(name, ticket, shape, JobCaller.body(name, shape, Map.of()));
		assertThat(SubmittedJob.byName(name)).isSameAs(job);
	}

	/**
	 * Submits a job from a caller that times out and closes its connection before the
	 * reply.
	 * @param name the name of the job
	 * @param taskCount the number of tasks
	 * @param runMillis the run time of each task, in milliseconds
	 * @param deadlineMillis the deadline, in milliseconds
	 * @param host the entry host
	 */
	@When("job {word} of {int} tasks of {int} ms within {int} ms is submitted to {word} by a caller that goes away")
	public void callerDisconnects(String name, int taskCount, int runMillis, int deadlineMillis, String host) {
		JobCaller.Shape shape = new JobCaller.Shape(taskCount, runMillis, deadlineMillis);
		String ticket = caller().fetchTickets(World.host(host), 1).get(0);
		SubmittedJob job = new SubmittedJob(name, ticket, shape, JobCaller.body(name, shape, Map.of()));
		submitAndTimeOut(job, World.host(host).api());
	}

	/**
	 * Submits a job over a connection that becomes unresponsive before the reply.
	 * @param name the name of the job
	 * @param taskCount the number of tasks
	 * @param runMillis the run time of each task, in milliseconds
	 * @param host the entry host
	 * @param mode the name of the {@link TcpRelay.Mode} that the relay applies
	 */
	@When("job {word} of {int} tasks of {int} ms is submitted to {word} over a connection with {word}")
	public void connectionBecomesUnresponsive(String name, int taskCount, int runMillis, String host, String mode) {
		this.callerRelay = TcpRelay.to(World.host(host).api());
		JobCaller.Shape shape = new JobCaller.Shape(taskCount, runMillis, 20_000);
		String ticket = caller().fetchTickets(World.host(host), 1).get(0);
		SubmittedJob job = new SubmittedJob(name, ticket, shape, JobCaller.body(name, shape, Map.of()));
		this.callerRelay.setMode(TcpRelay.Mode.valueOf(mode));
		submitAndTimeOut(job, this.callerRelay.address());
		this.callerRelay.setMode(TcpRelay.Mode.PASS);
	}

	private static void submitAndTimeOut(SubmittedJob job, HostAddress address) {
		try (ApiClient client = new ApiClient(DISCONNECT_TIMEOUT)) {
			assertThatExceptionOfType(UncheckedIOException.class)
				.isThrownBy(() -> client.send("PUT", address, "/v1/jobs/" + job.ticket(), job.body(), Map.of()));
		}
	}

	/**
	 * Waits until tasks of a job have started.
	 * @param count the minimum number of started tasks
	 * @param name the name of the job
	 */
	@When("{int} tasks of job {word} were started")
	public void tasksWereStarted(int count, String name) {
		await().atMost(SubmittedJob.ANSWER_TIMEOUT)
			.untilAsserted(
					() -> assertThat(SubmittedJob.byName(name).startCounts()).hasSizeGreaterThanOrEqualTo(count));
	}

	/**
	 * Waits, so that timers of the site can expire.
	 * @param millis the time to wait, in milliseconds
	 * @throws InterruptedException if the thread is interrupted
	 */
	@When("{int} ms pass")
	public void waitMillis(int millis) throws InterruptedException {
		Thread.sleep(millis);
	}

	/**
	 * Makes the open connections to the workers permanently unresponsive, without closing
	 * them.
	 * @param domain the failure domain
	 */
	@When("the open connections to the workers of {word} go silent")
	public void workerConnectionsBecomeUnresponsive(String domain) {
		Site site = World.site();
		site.workers(domain).addresses().forEach((worker) -> site.workerRelay(worker).silenceExisting());
	}

	private JobCaller caller() {
		if (this.caller == null) {
			this.caller = new JobCaller(World.site().client());
		}
		return this.caller;
	}

}
