package org.masticwick.proof.site;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import org.masticwick.proof.steps.SiteSteps;
import org.masticwick.proof.steps.World;
import org.masticwick.proof.support.ApiClient;
import org.masticwick.proof.support.EntryHostProcess;
import org.masticwick.proof.support.Site;
import org.masticwick.proof.support.TcpRelay;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Cuts failure domains off and checks that each goes on.
 */
public class PartitionSteps {

	private static final Duration DETECTION_LIMIT = Duration.ofSeconds(40);

	private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(30);

	private static final int JOB_COUNT = 8;

	private static final int TASK_COUNT = 4;

	private static final int RUN_MILLIS = 30;

	/**
	 * Starts a site for this scenario alone whose failure domains can be cut off from
	 * each other.
	 * @param table how it is set up
	 */
	@Given("a site of its own with cuts")
	public void siteWithPeerRelays(Map<String, String> table) {
		World.useOwn(Site.startWithPeerRelays(SiteSteps.options(table)));
	}

	/**
	 * Cuts failure domains off from the platform.
	 * @param names the failure domains, with spaces between them; may be empty
	 */
	@When("{string} is/are cut from the platform")
	public void partitionFromPlatform(String names) {
		splitNames(names).forEach((domain) -> World.site().platformRelay(domain).setMode(TcpRelay.Mode.DROP));
	}

	/**
	 * Cuts failure domains off from the platform so that open connections go silent.
	 * @param names the failure domains, with spaces between them; may be empty
	 */
	@When("the connections of {string} with the platform go silent")
	public void platformConnectionsBecomeUnresponsive(String names) {
		splitNames(names).forEach((domain) -> World.site().platformRelay(domain).silenceExisting());
	}

	/**
	 * Cuts failure domains off from all others.
	 * @param names the failure domains, with spaces between them; may be empty
	 */
	@When("{string} is/are cut from the other failure domains")
	public void partitionFromDomains(String names) {
		splitNames(names).forEach((domain) -> World.site()
			.domains()
			.stream()
			.filter((other) -> !other.equals(domain))
			.forEach((other) -> World.site().cut(domain, other)));
	}

	/** Waits until a host of each cut domain has noticed the cut. */
	@When("the hosts of {string} no longer know the others")
	public void hostsDetectPartition(String names) {
		splitNames(names).forEach((domain) -> SiteSupport.runningHosts(domain)
			.forEach((host) -> SiteSupport.awaitTrue("cut noticed", DETECTION_LIMIT,
					() -> allPeersUnknown(host, domain))));
	}

	/** Ends all cuts. */
	@When("all cuts are healed")
	public void partitionsAreRemoved() {
		World.site().heal();
		World.site().domains().forEach((domain) -> World.site().platformRelay(domain).setMode(TcpRelay.Mode.PASS));
	}

	/**
	 * Kills one host of each failure domain and starts another one.
	 */
	@When("one host of each failure domain dies and is replaced")
	public void hostsAreReplaced() {
		World.site().domains().forEach((domain) -> {
			SiteSupport.runningHosts(domain).findFirst().orElseThrow().process().kill();
			World.site().startEntryHost(domain);
		});
		World.site().awaitReady();
	}

	/** Checks that each host that runs does new work with its own tickets. */
	@Then("every host serves new work")
	public void everyHostServes() {
		SiteSupport.runningHosts().parallelStream().forEach(PartitionSteps::assertServesJobs);
	}

	/** Checks that the hosts of all failure domains hear of each other again. */
	@Then("every host knows every other one as ready")
	public void allPeersAreReady() {
		SiteSupport.runningHosts()
			.forEach(
					(host) -> SiteSupport.awaitTrue("others known", RECOVERY_LIMIT,
							() -> hostStates(host).stream().filter("ready"::equals).count() >= SiteSupport
								.runningHosts()
								.size()));
	}

	/** Leaves no relay to the platform cut. */
	@After(order = 20_000)
	public void resetPlatformRelays() {
		if (World.hasSite()) {
			World.site().domains().forEach((domain) -> World.site().platformRelay(domain).setMode(TcpRelay.Mode.PASS));
		}
	}

	private static void assertServesJobs(EntryHostProcess host) {
		ApiClient client = SiteSupport.client();
		for (int jobIndex = 0; jobIndex < JOB_COUNT; jobIndex++) {
			String ticket = JobRequests.fetchTicket(client, host.api());
			ApiClient.Reply reply = JobRequests.submit(client, host.api(), ticket,
					JobRequests.body(TASK_COUNT, RUN_MILLIS));
			assertThat(JobRequests.isComplete(reply, TASK_COUNT)).as(host.process() + ": " + reply).isTrue();
		}
	}

	private static boolean allPeersUnknown(EntryHostProcess host, String domain) {
		JsonNode domains = SiteSupport.getJson(host, "/v1/version").path("domains");
		return domains.properties()
			.stream()
			.filter((entry) -> !entry.getKey().equals(domain))
			.flatMap((entry) -> StreamSupport.stream(entry.getValue().spliterator(), false))
			.allMatch((peer) -> peer.path("state").asText().equals("unknown"));
	}

	private static List<String> hostStates(EntryHostProcess host) {
		return SiteSupport.getJson(host, "/v1/version")
			.path("domains")
			.properties()
			.stream()
			.flatMap((entry) -> StreamSupport.stream(entry.getValue().spliterator(), false))
			.map((hostEntry) -> hostEntry.path("state").asText())
			.toList();
	}

	private static List<String> splitNames(String text) {
		return text.isEmpty() ? List.of() : List.of(text.split(" "));
	}

}
