package org.masticwick.proof.support;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.masticwick.core.process.HostAddress;

/**
 * Holds how a site is set up. Each {@code with} method returns a changed copy.
 *
 * @param domains the failure domains
 * @param service the service that all workers run
 * @param workersPerDomain how many workers a failure domain has
 * @param entryHostsPerDomain how many entry hosts a failure domain has
 * @param slotsPerWorker how many tasks a worker runs at once
 * @param connectionsPerWorker how many connections a worker takes at once
 * @param workerRelays whether entry hosts reach each worker through a relay
 * @param platformOptions more of the platform's command line
 * @param entryHostKeys settings of the entry hosts by section and key, each value as it
 * stands in TOML
 */
public record SiteOptions(List<String> domains, String service, int workersPerDomain, int entryHostsPerDomain,
		int slotsPerWorker, int connectionsPerWorker, boolean workerRelays, List<String> platformOptions,
		Map<String, Map<String, String>> entryHostKeys) {

	private static final int SLOTS_PER_WORKER = 8;

	private static final int CONNECTIONS_PER_WORKER = 64;

	/**
	 * Returns options of a small site with defaults for the rest.
	 * @param domains the failure domains
	 * @return the options
	 */
	public static SiteOptions of(String... domains) {
		return new SiteOptions(List.of(domains), "meal-application", 2, 0, SLOTS_PER_WORKER, CONNECTIONS_PER_WORKER,
				false, List.of(), Map.of());
	}

	/**
	 * Sets how many workers a failure domain has.
	 * @param count the count
	 * @param slotCount how many tasks a worker runs at once
	 * @return the changed options
	 */
	public SiteOptions withWorkers(int count, int slotCount) {
		return new SiteOptions(this.domains, this.service, count, this.entryHostsPerDomain, slotCount,
				this.connectionsPerWorker, this.workerRelays, this.platformOptions, this.entryHostKeys);
	}

	/**
	 * Sets the service that all workers run.
	 * @param name the name of the service
	 * @return the changed options
	 */
	public SiteOptions withService(String name) {
		return new SiteOptions(this.domains, name, this.workersPerDomain, this.entryHostsPerDomain, this.slotsPerWorker,
				this.connectionsPerWorker, this.workerRelays, this.platformOptions, this.entryHostKeys);
	}

	/**
	 * Sets how many entry hosts a failure domain has.
	 * @param count the count
	 * @return the changed options
	 */
	public SiteOptions withEntryHosts(int count) {
		return new SiteOptions(this.domains, this.service, this.workersPerDomain, count, this.slotsPerWorker,
				this.connectionsPerWorker, this.workerRelays, this.platformOptions, this.entryHostKeys);
	}

	/**
	 * Puts a relay in front of each worker; release notes name the relays.
	 * @return the changed options
	 */
	public SiteOptions withWorkerRelays() {
		return new SiteOptions(this.domains, this.service, this.workersPerDomain, this.entryHostsPerDomain,
				this.slotsPerWorker, this.connectionsPerWorker, true, this.platformOptions, this.entryHostKeys);
	}

	/**
	 * Adds to the platform's command line.
	 * @param arguments the arguments
	 * @return the changed options
	 */
	public SiteOptions withPlatform(String... arguments) {
		return new SiteOptions(this.domains, this.service, this.workersPerDomain, this.entryHostsPerDomain,
				this.slotsPerWorker, this.connectionsPerWorker, this.workerRelays, List.of(arguments),
				this.entryHostKeys);
	}

	/**
	 * Adds a setting of the entry hosts.
	 * @param section the section
	 * @param key the key
	 * @param value the value as it stands in TOML
	 * @return the changed options
	 */
	public SiteOptions withEntryHostKey(String section, String key, String value) {
		Map<String, Map<String, String>> keys = new LinkedHashMap<>();
		this.entryHostKeys.forEach((name, values) -> keys.put(name, new LinkedHashMap<>(values)));
		keys.computeIfAbsent(section, (name) -> new LinkedHashMap<>()).put(key, value);
		return new SiteOptions(this.domains, this.service, this.workersPerDomain, this.entryHostsPerDomain,
				this.slotsPerWorker, this.connectionsPerWorker, this.workerRelays, this.platformOptions, keys);
	}

	int processorsPerWorker() {
		return 64;
	}

	long memoryMegabytesPerWorker() {
		return 131_072;
	}

	long maxRunMillis() {
		return 30_000;
	}

	String[] platformArguments() {
		return this.platformOptions.toArray(String[]::new);
	}

	List<String> workerArguments(HostAddress platform) {
		List<String> arguments = new ArrayList<>();
		arguments.addAll(List.of("--count", Integer.toString(this.workersPerDomain)));
		arguments.addAll(List.of("--service", this.service));
		arguments.addAll(List.of("--slots", Integer.toString(this.slotsPerWorker)));
		arguments.addAll(List.of("--connections", Integer.toString(this.connectionsPerWorker)));
		arguments.addAll(List.of("--platform", platform.toString()));
		return arguments;
	}

}
