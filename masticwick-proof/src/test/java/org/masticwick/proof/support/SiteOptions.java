package org.masticwick.proof.support;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.masticwick.core.process.HostAddress;

/**
 * Holds the setup of a site. Each {@code with} method returns a changed copy.
 *
 * @param domains the failure domains
 * @param service the service that all workers run
 * @param workersPerDomain the number of workers in each failure domain
 * @param entryHostsPerDomain the number of entry hosts in each failure domain
 * @param slotsPerWorker the maximum number of tasks that a worker runs concurrently
 * @param connectionsPerWorker the maximum number of open connections that a worker
 * accepts
 * @param workerRelays whether entry hosts connect to each worker through a relay
 * @param platformOptions additional command line arguments of the platform
 * @param entryHostKeys additional settings of the entry hosts by section and key, each
 * value in TOML syntax
 */
public record SiteOptions(List<String> domains, String service, int workersPerDomain, int entryHostsPerDomain,
		int slotsPerWorker, int connectionsPerWorker, boolean workerRelays, List<String> platformOptions,
		Map<String, Map<String, String>> entryHostKeys) {

	private static final int SLOTS_PER_WORKER = 8;

	private static final int CONNECTIONS_PER_WORKER = 64;

	/**
	 * Returns the setup of a small site without entry hosts: two workers in each failure
	 * domain and no relays.
	 * @param domains the failure domains
	 * @return the options
	 */
	public static SiteOptions of(String... domains) {
		return new SiteOptions(List.of(domains), "meal-application", 2, 0, SLOTS_PER_WORKER, CONNECTIONS_PER_WORKER,
				false, List.of(), Map.of());
	}

	/**
	 * Sets the number of workers in each failure domain and their slots.
	 * @param count the number of workers
	 * @param slotCount the maximum number of tasks that a worker runs concurrently
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
	 * Sets the number of entry hosts in each failure domain.
	 * @param count the number of entry hosts
	 * @return the changed options
	 */
	public SiteOptions withEntryHosts(int count) {
		return new SiteOptions(this.domains, this.service, this.workersPerDomain, count, this.slotsPerWorker,
				this.connectionsPerWorker, this.workerRelays, this.platformOptions, this.entryHostKeys);
	}

	/**
	 * Puts a relay in front of each worker; release notes contain the relay addresses.
	 * @return the changed options
	 */
	public SiteOptions withWorkerRelays() {
		return new SiteOptions(this.domains, this.service, this.workersPerDomain, this.entryHostsPerDomain,
				this.slotsPerWorker, this.connectionsPerWorker, true, this.platformOptions, this.entryHostKeys);
	}

	/**
	 * Replaces the additional command line arguments of the platform.
	 * @param arguments the arguments
	 * @return the changed options
	 */
	public SiteOptions withPlatform(String... arguments) {
		return new SiteOptions(this.domains, this.service, this.workersPerDomain, this.entryHostsPerDomain,
				this.slotsPerWorker, this.connectionsPerWorker, this.workerRelays, List.of(arguments),
				this.entryHostKeys);
	}

	/**
	 * Sets one setting of all entry hosts.
	 * @param section the section
	 * @param key the key
	 * @param value the value in TOML syntax
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
