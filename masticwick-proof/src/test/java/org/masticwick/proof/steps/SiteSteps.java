package org.masticwick.proof.steps;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import org.masticwick.proof.support.ApiClient;
import org.masticwick.proof.support.ManagedProcess;
import org.masticwick.proof.support.SiteOptions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Step definitions that start sites, signal their processes and inject faults. A site is
 * described by a table of {@code domains}, {@code workers}, {@code slots},
 * {@code entry hosts} and {@code relays} ({@code yes} or {@code no}), and settings of the
 * entry hosts as {@code section.key}, with values in TOML syntax.
 */
public class SiteSteps {

	private static final Map<String, String> DEFAULTS = Map.of("domains", "toto-centro", "workers", "2", "slots", "8",
			"entry hosts", "1", "relays", "no");

	/**
	 * Uses a site that is shared between scenarios. The scenario must not kill, pause or
	 * stop its hosts.
	 * @param table the setup of the site
	 */
	@Given("a shared site")
	public void aSharedSite(Map<String, String> table) {
		World.useShared(options(table));
	}

	/**
	 * Starts a site that only this scenario uses.
	 * @param table the setup of the site
	 */
	@Given("a site of its own")
	public void aSiteOfItsOwn(Map<String, String> table) {
		World.useOwn(options(table));
	}

	/**
	 * Sends a signal to an entry host.
	 * @param host the failure domain and index of the host, as in {@code toto-centro/0}
	 * @param action {@code killed}, {@code frozen}, {@code resumed} or {@code stopped}
	 */
	@When("entry host {word} is {word}")
	public void entryHostIs(String host, String action) {
		ManagedProcess process = World.host(host).process();
		switch (action) {
			case "killed" -> process.kill();
			case "frozen" -> process.pause();
			case "resumed" -> process.resume();
			case "stopped" -> process.terminate();
			default -> throw new IllegalArgumentException(action);
		}
	}

	/**
	 * Starts an additional entry host and waits until all are ready.
	 * @param domain its failure domain
	 */
	@When("an entry host is started in {word}")
	public void anEntryHostIsStarted(String domain) {
		World.site().startEntryHost(domain);
		World.site().awaitReady();
	}

	/**
	 * Sets the injected faults of all workers of a failure domain.
	 * @param domain the failure domain
	 * @param faults the faults as a JSON object
	 */
	@When("the workers of {word} have faults {}")
	public void workersHaveFaults(String domain, String faults) {
		World.site().workers(domain).faultAll(faultFields(faults));
	}

	/**
	 * Sets the injected faults of one worker.
	 * @param worker the failure domain and index of the worker, as in
	 * {@code toto-centro/0}
	 * @param faults the faults as a JSON object
	 */
	@When("worker {word} has faults {}")
	public void workerHasFaults(String worker, String faults) {
		String[] domainAndIndex = worker.split("/", 2);
		World.site().workers(domainAndIndex[0]).fault(Integer.parseInt(domainAndIndex[1]), faultFields(faults));
	}

	/**
	 * Sets the injected faults of the platform.
	 * @param faults the faults as a JSON object
	 */
	@When("the platform has faults {}")
	public void platformHasFaults(String faults) {
		World.site().platform().fault(faultFields(faults));
	}

	/** Checks that no worker of the site started a task more than once. */
	@Then("no task was started twice")
	public void noTaskWasStartedTwice() {
		World.site()
			.domains()
			.forEach((domain) -> assertThat(World.site().workers(domain).doubleStarts()).as(domain).isEmpty());
	}

	private static Map<String, Object> faultFields(String faults) {
		JsonNode tree = ApiClient.read(faults);
		return tree.properties().stream().collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
	}

	/**
	 * Converts a table to the setup of a site.
	 * @param table the table; missing rows have default values
	 * @return the setup
	 */
	public static SiteOptions options(Map<String, String> table) {
		Map<String, String> values = new TreeMap<>(DEFAULTS);
		values.putAll(table);
		SiteOptions options = SiteOptions.of(values.get("domains").split(" "))
			.withWorkers(Integer.parseInt(values.get("workers")), Integer.parseInt(values.get("slots")))
			.withEntryHosts(Integer.parseInt(values.get("entry hosts")));
		if (values.get("relays").equals("yes")) {
			options = options.withWorkerRelays();
		}
		for (Map.Entry<String, String> value : values.entrySet()) {
			String[] key = value.getKey().split("\\.", 2);
			options = (key.length == 2) ? options.withEntryHostKey(key[0], key[1], value.getValue()) : options;
		}
		return options;
	}

}
