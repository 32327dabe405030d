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
public class CutSteps {

	private static final Duration NOTICE_LIMIT = Duration.ofSeconds(40);

	private static final Duration HEAL_LIMIT = Duration.ofSeconds(30);

	private static final int JOB_COUNT = 8;

	private static final int TASK_COUNT = 4;

	private static final int RUN_MILLIS = 30;

	/**
	 * Starts a site for this scenario alone whose failure domains can be cut off from
	 * each other.
	 * @param table how it is set up
	 */
	@Given("a site of its own with cuts")
	public void aSiteWithCuts(Map<String, String> table) {
		World.useOwn(Site.startWithPeerRelays(SiteSteps.options(table)));
	}

	/**
	 * Cuts failure domains off from the platform.
	 * @param names the failure domains, with spaces between them; may be empty
	 */
	@When("{string} is/are cut from the platform")
	public void cutFromPlatform(String names) {
		names(names).forEach((domain) -> World.site().platformRelay(domain).setMode(TcpRelay.Mode.DROP));
	}

	/**
	 * Cuts failure domains off from the platform so that open connections go silent.
	 * @param names the failure domains, with spaces between them; may be empty
	 */
	@When("the connections of {string} with the platform go silent")
	public void platformGoesSilent(String names) {
		names(names).forEach((domain) -> World.site().platformRelay(domain).silenceExisting());
	}

	/**
	 * Cuts failure domains off from all others.
	 * @param names the failure domains, with spaces between them; may be empty
	 */
	@When("{string} is/are cut from the other failure domains")
	public void cutFromDomains(String names) {
		names(names).forEach((domain) -> World.site()
			.domains()
			.stream()
			.filter((other) -> !other.equals(domain))
			.forEach((other) -> World.site().cut(domain, other)));
	}

	/** Waits until a host of each cut domain has noticed the cut. */
	@When("the hosts of {string} no longer know the others")
	public void hostsNotice(String names) {
		names(names).forEach((domain) -> SiteSupport.running(domain)
			.forEach((host) -> SiteSupport.awaitTrue("cut noticed", NOTICE_LIMIT, () -> unknownOthers(host, domain))));
	}

	/** Ends all cuts. */
	@When("all cuts are healed")
	public void healed() {
		World.site().heal();
		World.site().domains().forEach((domain) -> World.site().platformRelay(domain).setMode(TcpRelay.Mode.PASS));
	}

	/**
	 * Kills one host of each failure domain and starts another one.
	 */
	@When("one host of each failure domain dies and is replaced")
	public void hostsAreReplaced() {
		World.site().domains().forEach((domain) -> {
			SiteSupport.running(domain).findFirst().orElseThrow().process().kill();
			World.site().startEntryHost(domain);
		});
		World.site().awaitReady();
	}

	/** Checks that each host that runs does new work with its own tickets. */
	@Then("every host serves new work")
	public void everyHostServes() {
		SiteSupport.running().parallelStream().forEach(CutSteps::serve);
	}

	/** Checks that the hosts of all failure domains hear of each other again. */
	@Then("every host knows every other one as ready")
	public void allKnown() {
		SiteSupport.running()
			.forEach((host) -> SiteSupport.awaitTrue("others known", HEAL_LIMIT,
					() -> states(host).stream().filter("ready"::equals).count() >= SiteSupport.running().size()));
	}

	/** Leaves no relay to the platform cut. */
	@After(order = 20_000)
	public void healRelays() {
		if (World.hasSite()) {
			World.site().domains().forEach((domain) -> World.site().platformRelay(domain).setMode(TcpRelay.Mode.PASS));
		}
	}

	private static void serve(EntryHostProcess host) {
		ApiClient client = SiteSupport.client();
		for (int job = 0; job < JOB_COUNT; job++) {
			String ticket = Jobs.ticket(client, host.api());
			ApiClient.Reply reply = Jobs.submit(client, host.api(), ticket, Jobs.body(TASK_COUNT, RUN_MILLIS));
			assertThat(Jobs.complete(reply, TASK_COUNT)).as(host.process() + ": " + reply).isTrue();
		}
	}

	private static boolean unknownOthers(EntryHostProcess host, String domain) {
		JsonNode domains = SiteSupport.get(host, "/v1/version").path("domains");
		return domains.properties()
			.stream()
			.filter((entry) -> !entry.getKey().equals(domain))
			.flatMap((entry) -> StreamSupport.stream(entry.getValue().spliterator(), false))
			.allMatch((other) -> other.path("state").asText().equals("unknown"));
	}

	private static List<String> states(EntryHostProcess host) {
		return SiteSupport.get(host, "/v1/version")
			.path("domains")
			.properties()
			.stream()
			.flatMap((entry) -> StreamSupport.stream(entry.getValue().spliterator(), false))
			.map((other) -> other.path("state").asText())
			.toList();
	}

	private static List<String> names(String text) {
		return text.isEmpty() ? List.of() : List.of(text.split(" "));
	}

}
