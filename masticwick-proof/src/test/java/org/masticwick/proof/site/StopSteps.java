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
 * Stops entry hosts as planned and asks for the tickets that they had issued.
 */
public class StopSteps {

	private static final Duration EXIT_LIMIT = Duration.ofSeconds(40);

	private static final Duration HEIR_LIMIT = Duration.ofSeconds(10);

	private static final Duration START_LIMIT = Duration.ofSeconds(5);

	private static final int TASK_COUNT = 3;

	private static final int SHORT_MILLIS = 20;

	private static final String FINISHED = "finished";

	private static final String RUNNING = "running";

	private final Map<String, Sample> samples = new LinkedHashMap<>();

	private final List<CompletableFuture<ApiClient.Reply>> waiting = new ArrayList<>();

	private String incarnation;

	private EntryHostProcess heir;

	/**
	 * Fetches tickets of a host and uses some.
	 * @param name the host
	 * @param runMillis how long the tasks under the running one take, in milliseconds
	 */
	@Given("tickets of {word}: unused ones, a finished one and one that runs for {int} ms")
	public void ticketsOf(String name, int runMillis) {
		EntryHostProcess host = World.host(name);
		this.incarnation = SiteSupport.get(host, "/dump").path("host").path("incarnation").textValue();
		add(host, "unused-1", SHORT_MILLIS);
		add(host, "unused-2", SHORT_MILLIS);
		add(host, "unused-3", SHORT_MILLIS);
		Sample finished = add(host, FINISHED, SHORT_MILLIS);
		this.samples.put(FINISHED, finished.answered(submit(host, finished)));
		Sample running = add(host, RUNNING, runMillis);
		this.waiting.add(CompletableFuture.supplyAsync(() -> submit(host, running)));
		SiteSupport.awaitTrue("started", START_LIMIT, () -> starts(running).size() == TASK_COUNT);
	}

	/**
	 * Stops hosts at the same time and waits for their end.
	 * @param names the hosts, with spaces between them
	 */
	@When("{string} stop(s) as planned")
	public void hostsStop(String names) {
		stop(List.of(names.split(" ")).stream().map(World::host).toList());
	}

	/**
	 * Starts a host and then stops others at the same time.
	 * @param names the hosts to stop, with spaces between them
	 */
	@When("{string} stop as planned once an entry host was started too")
	public void hostsStopAndOneStarts(String names) {
		World.site().startEntryHost(names.split("/", 2)[0]);
		World.site().awaitReady();
		hostsStop(names);
	}

	/** Stops the host that holds the tickets. */
	@When("the heir stops as planned")
	public void heirStops() {
		stop(List.of(heir()));
	}

	/** Kills the host that holds the tickets. */
	@When("the heir is killed")
	public void heirIsKilled() {
		heir().process().kill();
	}

	/**
	 * Replaces all hosts of a failure domain, one after the other.
	 * @param domain the failure domain
	 */
	@When("each host of {word} is replaced in turn")
	public void eachIsReplaced(String domain) {
		List<EntryHostProcess> old = SiteSupport.running(domain).toList();
		old.forEach((host) -> {
			World.site().startEntryHost(domain);
			World.site().awaitReady();
			stop(List.of(host));
		});
	}

	/**
	 * Checks that what the caller waited for at the stopped host came whole.
	 */
	@Then("the caller that waited at the stopped host has its whole answer")
	public void waitingCallerIsAnswered() {
		this.waiting.forEach(
				(reply) -> assertThat(Jobs.complete(reply.join(), TASK_COUNT)).as(reply.join().toString()).isTrue());
	}

	/**
	 * Uses a ticket that was not used before.
	 * @param name the ticket
	 * @param domain the failure domain whose first running host is asked
	 */
	@Then("ticket {word} can be used in {word}")
	public void ticketCanBeUsed(String name, String domain) {
		Sample sample = this.samples.get(name);
		ApiClient.Reply reply = submit(first(domain), sample);
		assertThat(Jobs.complete(reply, TASK_COUNT)).as(reply.toString()).isTrue();
		assertStartedOnce(sample);
		this.samples.put(name, sample.answered(reply));
	}

	/**
	 * Asks for the answer of a ticket again.
	 * @param name the ticket
	 * @param domain the failure domain whose first running host is asked
	 */
	@Then("ticket {word} is still answered in {word}")
	public void ticketIsAnswered(String name, String domain) {
		Sample sample = this.samples.get(name);
		ApiClient.Reply again = submit(first(domain), sample);
		assertThat(Jobs.complete(again, TASK_COUNT)).as(again.toString()).isTrue();
		ApiClient.Reply state = SiteSupport.client().send("GET", first(domain).api(), "/v1/jobs/" + sample.ticket());
		assertThat(state.json().path("results")).as(state.toString()).isEqualTo(again.json().path("results"));
		if (sample.answer() != null) {
			assertThat(again.json().path("results")).isEqualTo(sample.answer().json().path("results"));
		}
		assertStartedOnce(sample);
	}

	/**
	 * Submits all tickets again after the process that held them was killed: each is
	 * answered, and no unused one starts.
	 * @param domain the failure domain whose first running host is asked
	 */
	@Then("no ticket starts anything any more in {word}")
	public void noTicketStarts(String domain) {
		Map<String, Integer> before = new TreeMap<>();
		this.samples.values().forEach((sample) -> before.putAll(starts(sample)));
		this.samples.forEach((name, sample) -> {
			ApiClient.Reply reply = submit(first(domain), sample);
			boolean whole = Jobs.complete(reply, TASK_COUNT);
			boolean told = !reply.json().path("code").asText("").isEmpty() && reply.status() >= 400;
			assertThat(whole || told).as(name + ": " + reply).isTrue();
			assertThat(whole && starts(sample).isEmpty()).as(name + ": " + reply).isFalse();
			assertThat(reply.json().path("ran").asText("") + starts(sample).size()).as(name + ": " + reply)
				.isNotEqualTo("no" + TASK_COUNT);
		});
		Map<String, Integer> after = new TreeMap<>();
		this.samples.values().forEach((sample) -> after.putAll(starts(sample)));
		assertThat(after).isEqualTo(before);
	}

	private Sample add(EntryHostProcess host, String name, int runMillis) {
		Sample sample = new Sample(Jobs.ticket(SiteSupport.client(), host.api()), Jobs.body(TASK_COUNT, runMillis),
				null);
		this.samples.put(name, sample);
		return sample;
	}

	private static ApiClient.Reply submit(EntryHostProcess host, Sample sample) {
		return Jobs.submit(SiteSupport.client(), host.api(), sample.ticket(), sample.body());
	}

	private static EntryHostProcess first(String domain) {
		return SiteSupport.running(domain).findFirst().orElseThrow();
	}

	private void stop(List<EntryHostProcess> hosts) {
		hosts.forEach((host) -> host.process().terminate());
		hosts.forEach(
				(host) -> assertThat(host.process().awaitExit(EXIT_LIMIT)).as(host.process().errorText()).isZero());
	}

	private EntryHostProcess heir() {
		SiteSupport.awaitTrue("an heir", HEIR_LIMIT, () -> {
			this.heir = SiteSupport.running().stream().filter(this::holds).findFirst().orElse(null);
			return this.heir != null;
		});
		return this.heir;
	}

	private boolean holds(EntryHostProcess host) {
		return StreamSupport.stream(SiteSupport.get(host, "/dump").path("tickets").path("held").spliterator(), false)
			.anyMatch((held) -> held.textValue().equals(this.incarnation));
	}

	private static Map<String, Integer> starts(Sample sample) {
		Map<String, Integer> starts = new TreeMap<>();
		World.site().domains().forEach((domain) -> starts.putAll(World.site().workers(domain).starts(sample.ticket())));
		return starts;
	}

	private static void assertStartedOnce(Sample sample) {
		assertThat(starts(sample)).hasSize(TASK_COUNT)
			.allSatisfy((task, count) -> assertThat(count).as(task).isEqualTo(1));
	}

	/**
	 * Is a ticket with its job.
	 *
	 * @param ticket the ticket
	 * @param body the body of the job
	 * @param answer the first answer, or {@code null}
	 */
	private record Sample(String ticket, String body, ApiClient.Reply answer) {

		Sample answered(ApiClient.Reply reply) {
			return new Sample(this.ticket, this.body, reply);
		}

	}

}
