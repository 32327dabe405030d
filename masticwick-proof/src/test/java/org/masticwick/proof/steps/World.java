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
 * Holds the site of the scenario that runs. A shared site outlives its scenario and is
 * used again by each scenario that asks for the same options; a scenario that harms a
 * host asks for a site of its own.
 */
public final class World {

	private static final Map<SiteOptions, Site> SHARED_SITES = new HashMap<>();

	private static Site site;

	private static boolean ownedByScenario;

	/**
	 * Returns the site of the scenario.
	 * @return the site
	 * @throws IllegalStateException if the scenario has started none
	 */
	public static Site site() {
		if (site == null) {
			throw new IllegalStateException("The scenario has no site");
		}
		return site;
	}

	/**
	 * Tells whether the scenario has started a site.
	 * @return {@code true} if it has
	 */
	public static boolean hasSite() {
		return site != null;
	}

	/**
	 * Returns an entry host of the site.
	 * @param name failure domain and index in the order of the start, as in
	 * {@code toto-centro/0}
	 * @return the entry host
	 */
	public static EntryHostProcess host(String name) {
		String[] parts = name.split("/", 2);
		return site().entryHosts(parts[0]).get(Integer.parseInt(parts[1]));
	}

	/**
	 * Takes a site that scenarios share, and starts it if there is none yet.
	 * @param options how it is set up
	 */
	static void useShared(SiteOptions options) {
		site = SHARED_SITES.computeIfAbsent(options, World::start);
		ownedByScenario = false;
	}

	/**
	 * Starts a site for this scenario alone.
	 * @param options how it is set up
	 */
	static void useOwn(SiteOptions options) {
		site = start(options);
		ownedByScenario = true;
	}

	/**
	 * Takes a site that was started for this scenario alone.
	 * @param started the site
	 */
	public static void useOwn(Site started) {
		site = started;
		ownedByScenario = true;
		site.awaitReady();
	}

	/**
	 * Ends the site if it is the scenario's own; shows the state of its hosts first if
	 * the scenario failed.
	 * @param scenario the scenario
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
				.println("Failed: " + scenario.getName() + " " + host.api() + " " + fetchDump(host)));
	}

	private static String fetchDump(EntryHostProcess host) {
		try {
			return site.client().send("GET", host.api(), "/dump").body();
		}
		catch (RuntimeException ex) {
			return ex.toString();
		}
	}

	/** Ends the shared sites. */
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
