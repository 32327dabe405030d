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
 * Steps that partition failure domains and check that each continues to serve requests.
 */
public class PartitionSteps {

	private static final Duration DETECTION_LIMIT = Duration.ofSeconds(40);

	private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(30);

	private static final int JOB_COUNT = 8;

	private static final int TASK_COUNT = 4;

	private static final int RUN_MILLIS = 30;

	/**
	 * Starts a site for this scenario only, with relays between the failure domains so
	 * that they can be partitioned.
	 * @param table the options of the site
	 */
	@Given("a site of its own with cuts")
	public void siteWithPeerRelays(Map<String, String> table) {
		World.useOwn(Site.startWithPeerRelays(SiteSteps.options(table)));
	}

	/**
	 * Partitions failure domains from the platform.
	 * @param names the failure domains, separated by spaces; may be empty
	 */
	@When("{string} is/are cut from the platform")
	public void partitionFromPlatform(String names) {
		splitNames(names).forEach((domain) -> World.site().platformRelay(domain).setMode(TcpRelay.Mode.DROP));
	}

	/**
	 * Makes the open connections between failure domains and the platform unresponsive,
	 * without closing them.
	 * @param names the failure domains, separated by spaces; may be empty
	 */
	@When("the connections of {string} with the platform go silent")
	public void platformConnectionsBecomeUnresponsive(String names) {
		splitNames(names).forEach((domain) -> World.site().platformRelay(domain).silenceExisting());
	}

	/**
	 * Partitions failure domains from all other failure domains.
	 * @param names the failure domains, separated by spaces; may be empty
	 */
	@When("{string} is/are cut from the other failure domains")
	public void partitionFromDomains(String names) {
		splitNames(names).forEach((domain) -> World.site()
			.domains()
			.stream()
			.filter((other) -> !other.equals(domain))
			.forEach((other) -> World.site().cut(domain, other)));
	}

	/**
	 * Waits until every running host of the partitioned failure domains reports all hosts
	 * of the other failure domains as unknown.
	 * @param names the failure domains, separated by spaces; may be empty
	 */
	@When("the hosts of {string} no longer know the others")
	public void hostsDetectPartition(String names) {
		splitNames(names).forEach((domain) -> SiteSupport.runningHosts(domain)
			.forEach((host) -> SiteSupport.awaitTrue("partition detected", DETECTION_LIMIT,
					() -> allPeersUnknown(host, domain))));
	}

	/** Removes all partitions. */
	@When("all cuts are healed")
	public void partitionsAreRemoved() {
		World.site().heal();
		World.site().domains().forEach((domain) -> World.site().platformRelay(domain).setMode(TcpRelay.Mode.PASS));
	}

	/**
	 * Kills one host of each failure domain, starts a replacement and waits until the
	 * site is ready.
	 */
	@When("one host of each failure domain dies and is replaced")
	public void hostsAreReplaced() {
		World.site().domains().forEach((domain) -> {
			SiteSupport.runningHosts(domain).findFirst().orElseThrow().process().kill();
			World.site().startEntryHost(domain);
		});
		World.site().awaitReady();
	}

	/** Checks that each running host completes new jobs under tickets that it issued. */
	@Then("every host serves new work")
	public void everyHostServes() {
		SiteSupport.runningHosts().parallelStream().forEach(PartitionSteps::assertServesJobs);
	}

	/** Waits until each running host reports all running hosts as ready. */
	@Then("every host knows every other one as ready")
	public void allPeersAreReady() {
		SiteSupport.runningHosts()
			.forEach(
					(host) -> SiteSupport.awaitTrue("all hosts ready", RECOVERY_LIMIT,
							() -> hostStates(host).stream().filter("ready"::equals).count() >= SiteSupport
								.runningHosts()
								.size()));
	}

	/** Restores the relays to the platform after each scenario. */
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
