package org.masticwick.proof.site;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.StreamSupport;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import org.masticwick.proof.steps.World;
import org.masticwick.proof.support.ApiClient;
import org.masticwick.proof.support.EntryHostProcess;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Steps that shut entry hosts down gracefully and check the tickets that these hosts had
 * issued.
 */
public class StopSteps {

	private static final Duration EXIT_LIMIT = Duration.ofSeconds(40);

	private static final Duration SUCCESSOR_LIMIT = Duration.ofSeconds(10);

	private static final Duration START_LIMIT = Duration.ofSeconds(5);

	private static final int TASK_COUNT = 3;

	private static final int SHORT_MILLIS = 20;

	private static final String FINISHED = "finished";

	private static final String RUNNING = "running";

	private final Map<String, SampleJob> sampleJobs = new LinkedHashMap<>();

	private final List<CompletableFuture<ApiClient.Reply>> pendingReplies = new ArrayList<>();

	private String issuerIncarnation;

	private EntryHostProcess successor;

	/**
	 * Fetches five tickets from a host, completes the job of one and starts the job of
	 * another.
	 * @param name the host that issues the tickets
	 * @param runMillis the run time of each task of the running job, in milliseconds
	 */
	@Given("tickets of {word}: unused ones, a finished one and one that runs for {int} ms")
	public void ticketsOf(String name, int runMillis) {
		EntryHostProcess host = World.host(name);
		this.issuerIncarnation = SiteSupport.getJson(host, "/dump").path("host").path("incarnation").textValue();
		add(host, "unused-1", SHORT_MILLIS);
		add(host, "unused-2", SHORT_MILLIS);
		add(host, "unused-3", SHORT_MILLIS);
		SampleJob finished = add(host, FINISHED, SHORT_MILLIS);
		this.sampleJobs.put(FINISHED, finished.withAnswer(submit(host, finished)));
		SampleJob running = add(host, RUNNING, runMillis);
		this.pendingReplies.add(CompletableFuture.supplyAsync(() -> submit(host, running)));
		SiteSupport.awaitTrue("started", START_LIMIT, () -> startCounts(running).size() == TASK_COUNT);
	}

	/**
	 * Shuts hosts down concurrently and waits until they exit with status 0.
	 * @param names the hosts, separated by spaces
	 */
	@When("{string} stop(s) as planned")
	public void hostsStop(String names) {
		stop(List.of(names.split(" ")).stream().map(World::host).toList());
	}

	/**
	 * Starts a host in the failure domain of the first host named, then shuts the named
	 * hosts down concurrently.
	 * @param names the hosts to shut down, separated by spaces
	 */
	@When("{string} stop as planned once an entry host was started too")
	public void hostsStopAndOneStarts(String names) {
		World.site().startEntryHost(names.split("/", 2)[0]);
		World.site().awaitReady();
		hostsStop(names);
	}

	/** Shuts the host that took over the tickets down. */
	@When("the heir stops as planned")
	public void successorStops() {
		stop(List.of(awaitSuccessor()));
	}

	/** Kills the host that took over the tickets. */
	@When("the heir is killed")
	public void successorIsKilled() {
		awaitSuccessor().process().kill();
	}

	/**
	 * Replaces all hosts of a failure domain sequentially: starts a new host, then shuts
	 * an old one down.
	 * @param domain the failure domain
	 */
	@When("each host of {word} is replaced in turn")
	public void eachIsReplaced(String domain) {
		List<EntryHostProcess> replacedHosts = SiteSupport.runningHosts(domain).toList();
		replacedHosts.forEach((host) -> {
			World.site().startEntryHost(domain);
			World.site().awaitReady();
			stop(List.of(host));
		});
	}

	/**
	 * Checks that callers which waited at the stopped host received complete answers.
	 */
	@Then("the caller that waited at the stopped host has its whole answer")
	public void waitingCallerIsAnswered() {
		this.pendingReplies
			.forEach((reply) -> assertThat(JobRequests.isComplete(reply.join(), TASK_COUNT)).as(reply.join().toString())
				.isTrue());
	}

	/**
	 * Submits the job of an unused ticket and checks that each task started once.
	 * @param name the name of the ticket
	 * @param domain the failure domain whose first running host gets the requests
	 */
	@Then("ticket {word} can be used in {word}")
	public void ticketCanBeUsed(String name, String domain) {
		SampleJob sample = this.sampleJobs.get(name);
		ApiClient.Reply reply = submit(firstRunningHost(domain), sample);
		assertThat(JobRequests.isComplete(reply, TASK_COUNT)).as(reply.toString()).isTrue();
		assertStartedOnce(sample);
		this.sampleJobs.put(name, sample.withAnswer(reply));
	}

	/**
	 * Resubmits the job of a ticket and checks that submission and status query return
	 * the same results, that these equal the first answer if one was recorded, and that
	 * each task started once.
	 * @param name the name of the ticket
	 * @param domain the failure domain whose first running host gets the requests
	 */
	@Then("ticket {word} is still answered in {word}")
	public void ticketIsAnswered(String name, String domain) {
		SampleJob sample = this.sampleJobs.get(name);
		ApiClient.Reply repeatedReply = submit(firstRunningHost(domain), sample);
		assertThat(JobRequests.isComplete(repeatedReply, TASK_COUNT)).as(repeatedReply.toString()).isTrue();
		ApiClient.Reply stateReply = SiteSupport.client()
			.send("GET", firstRunningHost(domain).api(), "/v1/jobs/" + sample.ticket());
		assertThat(stateReply.json().path("results")).as(stateReply.toString())
			.isEqualTo(repeatedReply.json().path("results"));
		if (sample.answer() != null) {
			assertThat(repeatedReply.json().path("results")).isEqualTo(sample.answer().json().path("results"));
		}
		assertStartedOnce(sample);
	}

	/**
	 * Resubmits all jobs after the process that held their tickets was killed. Each
	 * request must be answered completely or with an error code, no further task may
	 * start, and a job whose tasks all started must not be reported with {@code ran=no}.
	 * @param domain the failure domain whose first running host gets the requests
	 */
	@Then("no ticket starts anything any more in {word}")
	public void noTicketStarts(String domain) {
		Map<String, Integer> startsBefore = new TreeMap<>();
		this.sampleJobs.values().forEach((sample) -> startsBefore.putAll(startCounts(sample)));
		Map<String, CompletableFuture<ApiClient.Reply>> replies = new LinkedHashMap<>();
		EntryHostProcess host = firstRunningHost(domain);
		this.sampleJobs
			.forEach((name, sample) -> replies.put(name, CompletableFuture.supplyAsync(() -> submit(host, sample))));
		this.sampleJobs.forEach((name, sample) -> {
			ApiClient.Reply reply = replies.get(name).join();
			boolean complete = JobRequests.isComplete(reply, TASK_COUNT);
			boolean problemReported = !reply.json().path("code").asText("").isEmpty() && reply.status() >= 400;
			assertThat(complete || problemReported).as(name + ": " + reply).isTrue();
			assertThat(complete && startCounts(sample).isEmpty()).as(name + ": " + reply).isFalse();
			assertThat(reply.json().path("ran").asText("") + startCounts(sample).size()).as(name + ": " + reply)
				.isNotEqualTo("no" + TASK_COUNT);
		});
		Map<String, Integer> startsAfter = new TreeMap<>();
		this.sampleJobs.values().forEach((sample) -> startsAfter.putAll(startCounts(sample)));
		assertThat(startsAfter).isEqualTo(startsBefore);
	}

	private SampleJob add(EntryHostProcess host, String name, int runMillis) {
		SampleJob sample = new SampleJob(JobRequests.fetchTicket(SiteSupport.client(), host.api()),
				JobRequests.body(TASK_COUNT, runMillis), null);
		this.sampleJobs.put(name, sample);
		return sample;
	}

	private static ApiClient.Reply submit(EntryHostProcess host, SampleJob sample) {
		return JobRequests.submit(SiteSupport.client(), host.api(), sample.ticket(), sample.body());
	}

	private static EntryHostProcess firstRunningHost(String domain) {
		return SiteSupport.runningHosts(domain).findFirst().orElseThrow();
	}

	private void stop(List<EntryHostProcess> hosts) {
		hosts.forEach((host) -> host.process().terminate());
		hosts.forEach(
				(host) -> assertThat(host.process().awaitExit(EXIT_LIMIT)).as(host.process().errorText()).isZero());
	}

	private EntryHostProcess awaitSuccessor() {
		SiteSupport.awaitTrue("a successor", SUCCESSOR_LIMIT, () -> {
			this.successor = SiteSupport.runningHosts().stream().filter(this::holdsTickets).findFirst().orElse(null);
			return this.successor != null;
		});
		return this.successor;
	}

	private boolean holdsTickets(EntryHostProcess host) {
		return StreamSupport
			.stream(SiteSupport.getJson(host, "/dump").path("tickets").path("held").spliterator(), false)
			.anyMatch((heldIncarnation) -> heldIncarnation.textValue().equals(this.issuerIncarnation));
	}

	private static Map<String, Integer> startCounts(SampleJob sample) {
		Map<String, Integer> counts = new TreeMap<>();
		World.site().domains().forEach((domain) -> counts.putAll(World.site().workers(domain).starts(sample.ticket())));
		return counts;
	}

	private static void assertStartedOnce(SampleJob sample) {
		assertThat(startCounts(sample)).hasSize(TASK_COUNT)
			.allSatisfy((task, count) -> assertThat(count).as(task).isEqualTo(1));
	}

	/**
	 * A ticket and the job submitted under it.
	 *
	 * @param ticket the ticket
	 * @param body the body of the job
	 * @param answer the first answer, or {@code null} if none was recorded
	 */
	private record SampleJob(String ticket, String body, ApiClient.Reply answer) {

		SampleJob withAnswer(ApiClient.Reply reply) {
			return new SampleJob(this.ticket, this.body, reply);
		}

	}

}
