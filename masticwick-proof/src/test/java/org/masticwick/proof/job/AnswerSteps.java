package org.masticwick.proof.job;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Then;

import org.masticwick.proof.steps.World;
import org.masticwick.proof.support.ApiClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Steps that check the answers to jobs and the number of task starts.
 */
public class AnswerSteps {

	/**
	 * Checks that every answer to a job is complete.
	 * @param name the name of the job
	 */
	@Then("every answer to job {word} is complete")
	public void everyAnswerIsComplete(String name) {
		SubmittedJob job = SubmittedJob.byName(name);
		assertThat(job.allReplies()).isNotEmpty()
			.allSatisfy((reply) -> JobCaller.assertComplete(reply, job.ticket(), name, job.shape()));
	}

	/**
	 * Checks that the latest answer to a job is complete.
	 * @param name the name of the job
	 */
	@Then("job {word} is answered complete")
	public void jobIsAnsweredComplete(String name) {
		SubmittedJob job = SubmittedJob.byName(name);
		JobCaller.assertComplete(job.latestReply(), job.ticket(), name, job.shape());
	}

	/**
	 * Checks that a job failed without partial results, and that the failure lists all
	 * tasks.
	 * @param name the name of the job
	 * @param code the expected problem code
	 */
	@Then("job {word} is answered failed with {word}")
	public void jobIsAnsweredFailed(String name, String code) {
		ApiClient.Reply reply = SubmittedJob.byName(name).latestReply();
		JsonNode problem = reply.json();
		assertThat(problem.path("code").asText()).as(reply.toString()).isEqualTo(code);
		assertThat(problem.path("ran").asText()).isNotEqualTo("no");
		assertThat(problem.has("results")).isFalse();
		assertThat(problem.path("tasks")).hasSize(SubmittedJob.byName(name).shape().taskCount());
	}

	/**
	 * Checks that the latest answer to a job is complete or a failure.
	 * @param name the name of the job
	 */
	@Then("job {word} is answered complete or failed")
	public void jobIsAnsweredCompleteOrFailed(String name) {
		if (SubmittedJob.byName(name).latestReply().status() == 200) {
			jobIsAnsweredComplete(name);
		}
		else {
			jobIsAnsweredFailed(name, "job-failed");
		}
	}

	/**
	 * Checks that the tasks which a failure lists in the given states are exactly the
	 * started tasks.
	 * @param name the name of the job
	 * @param states the allowed states of a started task, separated by commas
	 */
	@Then("the failure of job {word} names the started tasks as {word} and no other")
	public void failureNamesTheStartedTasks(String name, String states) {
		SubmittedJob job = SubmittedJob.byName(name);
		Set<String> startedTasks = job.startCounts().keySet();
		Set<String> allowedStates = Set.of(states.split(","));
		Set<String> reportedTasks = StreamSupport.stream(job.latestReply().json().path("tasks").spliterator(), false)
			.filter((task) -> allowedStates.contains(task.path("state").asText()))
			.map((task) -> job.ticket() + "." + task.path("index").asInt())
			.collect(Collectors.toSet());
		assertThat(reportedTasks).as(job.latestReply().body()).isEqualTo(startedTasks);
	}

	/**
	 * Checks that a job was refused without a run, and whether the answer contains a
	 * delay for retries.
	 * @param name the name of the job
	 * @param code the expected problem code
	 * @param retryable {@code yes} if a retry delay is expected
	 */
	@Then("job {word} is refused with {word} and a time to come back: {word}")
	public void jobIsRefused(String name, String code, String retryable) {
		ApiClient.Reply reply = SubmittedJob.byName(name).latestReply();
		assertThat(reply.json().path("code").asText()).as(reply.toString()).isEqualTo(code);
		assertThat(reply.json().path("ran").asText()).isEqualTo("no");
		assertThat(reply.json().has("retry_after_ms")).as(reply.toString()).isEqualTo(retryable.equals("yes"));
		assertThat(reply.headers().containsKey("Retry-After")).as(reply.toString()).isEqualTo(retryable.equals("yes"));
	}

	/**
	 * Checks that all answers to a job have identical bodies.
	 * @param name the name of the job
	 */
	@Then("all answers to job {word} are the same")
	public void allAnswersAreTheSame(String name) {
		assertThat(SubmittedJob.byName(name).allReplies().stream().map(ApiClient.Reply::body).distinct()).hasSize(1);
	}

	/**
	 * Checks that all answers to a job except the first have identical bodies.
	 * @param name the name of the job
	 */
	@Then("all answers to job {word} but the first are the same")
	public void repeatedAnswersAreTheSame(String name) {
		assertThat(SubmittedJob.byName(name).repliesAfterFirst().stream().map(ApiClient.Reply::body).distinct())
			.hasSize(1);
	}

	/**
	 * Checks that a job was refused without a run and with a delay for retries.
	 * @param name the name of the job
	 */
	@Then("job {word} is refused before its start")
	public void jobIsRefusedBeforeItsStart(String name) {
		ApiClient.Reply reply = SubmittedJob.byName(name).latestReply();
		assertThat(reply.json().path("ran").asText()).as(reply.toString()).isEqualTo("no");
		assertThat(reply.json().has("retry_after_ms")).as(reply.toString()).isTrue();
	}

	/**
	 * Checks that a job is complete, or refused without any task start.
	 * @param name the name of the job
	 */
	@Then("job {word} is answered complete, or refused without a start")
	public void jobIsCompleteOrRefused(String name) {
		SubmittedJob job = SubmittedJob.byName(name);
		if (job.latestReply().status() == 200) {
			JobCaller.assertComplete(job.latestReply(), job.ticket(), name, job.shape());
		}
		else {
			jobIsRefusedBeforeItsStart(name);
			noFurtherTaskIsStarted(0, name);
		}
	}

	/**
	 * Checks the number of tasks of a job that were started, each exactly once.
	 * @param count the expected number of started tasks
	 * @param name the name of the job
	 */
	@Then("{int} tasks of job {word} were started once")
	public void tasksWereStartedOnce(int count, String name) {
		assertStartedOnce(SubmittedJob.byName(name).startCounts(), count);
	}

	/**
	 * Checks that no further tasks of a job start during the quiet period.
	 * @param count the expected number of started tasks
	 * @param name the name of the job
	 */
	@Then("{int} tasks of job {word} were started once, and none later")
	public void noFurtherTaskIsStarted(int count, String name) {
		await().during(SubmittedJob.QUIET_PERIOD)
			.atMost(SubmittedJob.QUIET_PERIOD.multipliedBy(5))
			.untilAsserted(() -> assertStartedOnce(SubmittedJob.byName(name).startCounts(), count));
	}

	private static void assertStartedOnce(Map<String, Integer> starts, int count) {
		assertThat(starts).hasSize(count)
			.allSatisfy((task, startCount) -> assertThat(startCount).as(task).isEqualTo(1));
	}

	/**
	 * Checks the maximum number of tasks of a job that were started, each exactly once.
	 * @param count the maximum number of started tasks
	 * @param name the name of the job
	 */
	@Then("at most {int} tasks of job {word} were started once")
	public void atMostWereStarted(int count, String name) {
		assertThat(SubmittedJob.byName(name).startCounts()).hasSizeLessThanOrEqualTo(count)
			.allSatisfy((task, startCount) -> assertThat(startCount).as(task).isEqualTo(1));
	}

	/** Resets the faults of all workers. */
	@Then("the workers have no faults")
	public void workersHaveNoFaults() {
		Map<String, Object> faultResets = Map.of("lose_replies", 0, "double_replies", 0, "truncate_replies", 0,
				"overlong_replies", 0, "wrong_task_id", 0, "late_reply_ms", 0, "slow_factor", 1, "fail_fraction", 0,
				"leaving", false, "refuse_all_full", false);
		World.site().domains().forEach((domain) -> World.site().workers(domain).faultAll(faultResets));
	}

}
