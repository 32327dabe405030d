package org.masticwick.proof.steps;

import java.util.HashMap;
import java.util.Map;

import io.cucumber.java.After;
import io.cucumber.java.AfterAll;
import io.cucumber.java.Scenario;

import org.masticwick.proof.support.EntryHostProcess;
import org.masticwick.proof.support.Site;
import org.masticwick.proof.support.SiteOptions;

/**
 * Holds the site of the current scenario. A shared site stays up after the scenario and
 * is reused by each scenario with the same options; a scenario that kills, pauses or
 * stops a host must use its own site.
 */
public final class World {

	private static final Map<SiteOptions, Site> SHARED_SITES = new HashMap<>();

	private static Site site;

	private static boolean ownedByScenario;

	/**
	 * Returns the site of the current scenario.
	 * @return the site
	 * @throws IllegalStateException if the scenario has no site
	 */
	public static Site site() {
		if (site == null) {
			throw new IllegalStateException("The scenario has no site");
		}
		return site;
	}

	/**
	 * Returns whether the current scenario has a site.
	 * @return {@code true} if it has one
	 */
	public static boolean hasSite() {
		return site != null;
	}

	/**
	 * Returns an entry host of the site.
	 * @param name the failure domain and the index in the order of start, as in
	 * {@code toto-centro/0}
	 * @return the entry host
	 */
	public static EntryHostProcess host(String name) {
		String[] parts = name.split("/", 2);
		return site().entryHosts(parts[0]).get(Integer.parseInt(parts[1]));
	}

	/**
	 * Uses the shared site with the given options, and starts it if it does not exist
	 * yet.
	 * @param options the setup of the site
	 */
	static void useShared(SiteOptions options) {
		site = SHARED_SITES.computeIfAbsent(options, World::start);
		ownedByScenario = false;
	}

	/**
	 * Starts a site that only the current scenario uses.
	 * @param options the setup of the site
	 */
	static void useOwn(SiteOptions options) {
		site = start(options);
		ownedByScenario = true;
	}

	/**
	 * Uses a site that was started for the current scenario only, and waits until it is
	 * ready.
	 * @param started the site
	 */
	public static void useOwn(Site started) {
		site = started;
		ownedByScenario = true;
		site.awaitReady();
	}

	/**
	 * Closes the site if only this scenario uses it. If the scenario failed, prints the
	 * state of its entry hosts first.
	 * @param scenario the scenario that has finished
	 */
	@After(order = 0)
	public void closeSite(Scenario scenario) {
		if (site != null && scenario.isFailed()) {
			printDumps(scenario);
		}
		if (ownedByScenario) {
			site.close();
		}
		site = null;
		ownedByScenario = false;
	}

	private static void printDumps(Scenario scenario) {
		site.domains()
			.stream()
			.flatMap((domain) -> site.entryHosts(domain).stream())
			.filter((host) -> host.process().alive())
			.forEach((host) -> System.err
				.println("Scenario failed: " + scenario.getName() + " " + host.api() + " " + fetchDump(host)));
	}

	private static String fetchDump(EntryHostProcess host) {
		try {
			return site.client().send("GET", host.api(), "/dump").body();
		}
		catch (RuntimeException ex) {
			return ex.toString();
		}
	}

	/** Closes the shared sites. */
	@AfterAll
	public static void closeSharedSites() {
		SHARED_SITES.values().forEach(Site::close);
		SHARED_SITES.clear();
	}

	private static Site start(SiteOptions options) {
		Site started = Site.start(options);
		try {
			started.awaitReady();
			return started;
		}
		catch (RuntimeException | Error ex) {
			started.close();
			throw ex;
		}
	}

}
