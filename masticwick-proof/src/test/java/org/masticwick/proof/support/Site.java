package org.masticwick.proof.support;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.stream.IntStream;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.version.EndpointSpec;
import org.masticwick.core.version.ServiceSpec;

import static org.awaitility.Awaitility.await;

/**
 * Runs a complete site on loopback: a platform, the workers and entry hosts of each
 * failure domain, and optional relays between them.
 */
public final class Site implements AutoCloseable {

	private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(60);

	private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);

	private final SiteOptions options;

	private final Deque<AutoCloseable> resources = new ConcurrentLinkedDeque<>();

	private final ApiClient client = new ApiClient(CLIENT_TIMEOUT);

	private final Map<String, StandinWorkers> workers = new LinkedHashMap<>();

	private final Map<String, List<EntryHostProcess>> entryHosts = new LinkedHashMap<>();

	private final Map<String, TcpRelay> platformRelays = new LinkedHashMap<>();

	private final Map<HostAddress, TcpRelay> workerRelays = new LinkedHashMap<>();

	private final StandinPlatform platform;

	private final PeerNetwork peerNetwork;

	private Site(SiteOptions options, PeerNetwork peerNetwork) {
		this.options = options;
		this.peerNetwork = (peerNetwork != null) ? registerResource(peerNetwork) : null;
		this.platform = registerResource(StandinPlatform.start(this.client, options.platformArguments()));
	}

	/**
	 * Starts a site, publishes its first release note and starts its entry hosts.
	 * @param options the setup of the site
	 * @return the site
	 */
	public static Site start(SiteOptions options) {
		return start(new Site(options, null), options);
	}

	/**
	 * Starts a site whose failure domains can be partitioned from each other.
	 * @param options the setup of the site
	 * @return the site
	 */
	public static Site startWithPeerRelays(SiteOptions options) {
		return start(new Site(options, new PeerNetwork()), options);
	}

	private static Site start(Site site, SiteOptions options) {
		try {
			site.startWorkers();
			site.publish(site.firstNote());
			options.domains().forEach(site::startEntryHosts);
			return site;
		}
		catch (RuntimeException | Error ex) {
			site.close();
			throw ex;
		}
	}

	/**
	 * Returns the client for HTTP requests to any process of the site.
	 * @return the client
	 */
	public ApiClient client() {
		return this.client;
	}

	/**
	 * Returns the platform.
	 * @return the platform
	 */
	public StandinPlatform platform() {
		return this.platform;
	}

	/**
	 * Returns the failure domains.
	 * @return the names of the failure domains
	 */
	public List<String> domains() {
		return this.options.domains();
	}

	/**
	 * Returns the workers of a failure domain.
	 * @param domain the failure domain
	 * @return the workers; {@code null} if the failure domain does not exist
	 */
	public StandinWorkers workers(String domain) {
		return this.workers.get(domain);
	}

	/**
	 * Returns the entry hosts of a failure domain, including those that have exited.
	 * @param domain the failure domain
	 * @return the entry hosts in the order in which they were started
	 */
	public List<EntryHostProcess> entryHosts(String domain) {
		return List.copyOf(this.entryHosts.getOrDefault(domain, List.of()));
	}

	/**
	 * Returns the relay between the entry hosts of a failure domain and the platform.
	 * @param domain the failure domain
	 * @return the relay
	 */
	public TcpRelay platformRelay(String domain) {
		return this.platformRelays.get(domain);
	}

	/**
	 * Returns the relay in front of a worker.
	 * @param worker the address at which the worker itself listens
	 * @return the relay; {@code null} if the worker has none
	 */
	public TcpRelay workerRelay(HostAddress worker) {
		return this.workerRelays.get(worker);
	}

	/**
	 * Returns the address of a worker in the release notes.
	 * @param worker the address at which the worker itself listens
	 * @return the address of its relay, or its own if it has none
	 */
	public HostAddress publishedAddress(HostAddress worker) {
		TcpRelay relay = this.workerRelays.get(worker);
		return (relay != null) ? relay.address() : worker;
	}

	/**
	 * Starts an additional entry host whose seeds are the entry hosts that are alive.
	 * @param domain its failure domain
	 * @return the entry host
	 */
	public EntryHostProcess startEntryHost(String domain) {
		List<HostAddress> seeds = this.entryHosts.values()
			.stream()
			.flatMap(List::stream)
			.filter((entryHost) -> entryHost.process().alive())
			.map(EntryHostProcess::peer)
			.toList();
		EntryHostProcess entryHost = registerResource(EntryHostProcess.start(domain,
				this.platformRelays.get(domain).address(), seeds, entryHostKeys(domain)));
		this.entryHosts.computeIfAbsent(domain, (name) -> new ArrayList<>()).add(entryHost);
		return entryHost;
	}

	/**
	 * Partitions the entry hosts of two failure domains from each other. Requires a site
	 * that was started with peer relays.
	 * @param domain a failure domain
	 * @param otherDomain another failure domain
	 */
	public void cut(String domain, String otherDomain) {
		this.peerNetwork.partition(domain, otherDomain);
	}

	/**
	 * Ends all partitions between failure domains. Connections that were blackholed stay
	 * blackholed.
	 */
	public void heal() {
		this.peerNetwork.heal();
	}

	/**
	 * Waits until every entry host that is alive reports that it is ready.
	 */
	public void awaitReady() {
		this.entryHosts.values()
			.stream()
			.flatMap(List::stream)
			.filter((host) -> host.process().alive())
			.forEach((host) -> await().atMost(READY_TIMEOUT)
				.alias("ready: " + host.process())
				.until(() -> this.client.send("GET", host.api(), "/ready").status() == 200));
	}

	/**
	 * Appends a release note to the log.
	 * @param note the release note
	 * @throws IllegalStateException if the platform rejects the append
	 */
	public void publish(SiteNote note) {
		ApiClient.Reply reply = this.platform.append("site", note.text());
		if (reply.status() != 201) {
			throw new IllegalStateException("Release note was not published: " + reply);
		}
	}

	/** Kills all processes and closes all relays, in reverse order of their start. */
	@Override
	public void close() {
		this.resources.forEach(Site::closeQuietly);
		this.resources.clear();
		this.client.close();
	}

	private void startWorkers() {
		List<String> arguments = this.options.workerArguments(this.platform.address());
		List<StandinWorkers> workersOfAllDomains = this.options.domains()
			.parallelStream()
			.map((domain) -> registerResource(StandinWorkers.start(this.client, domain, arguments)))
			.toList();
		workersOfAllDomains.forEach(this::addWorkers);
	}

	private void addWorkers(StandinWorkers domainWorkers) {
		this.workers.put(domainWorkers.domain(), domainWorkers);
		this.platformRelays.put(domainWorkers.domain(), registerResource(TcpRelay.to(this.platform.address())));
		if (this.options.workerRelays()) {
			domainWorkers.addresses()
				.forEach((worker) -> this.workerRelays.put(worker, registerResource(TcpRelay.to(worker))));
		}
	}

	private void startEntryHosts(String domain) {
		IntStream.range(0, this.options.entryHostsPerDomain()).forEach((index) -> startEntryHost(domain));
	}

	private Map<String, Map<String, String>> entryHostKeys(String domain) {
		Map<String, Map<String, String>> keys = new LinkedHashMap<>(this.options.entryHostKeys());
		if (this.peerNetwork != null) {
			Map<String, String> host = new LinkedHashMap<>(keys.getOrDefault("host", Map.of()));
			host.putAll(this.peerNetwork.addHost(domain));
			keys.put("host", host);
		}
		return keys;
	}

	private SiteNote firstNote() {
		SiteNote note = new SiteNote("site-1", 0);
		note.add(new ServiceSpec(this.options.service(), Set.of(), true, this.options.maxRunMillis()));
		this.workers.values()
			.forEach((domainWorkers) -> domainWorkers.addresses()
				.forEach((worker) -> note.add(endpoint(domainWorkers.domain(), worker))));
		return note;
	}

	private EndpointSpec endpoint(String domain, HostAddress worker) {
		return new EndpointSpec(publishedAddress(worker), domain, domain + "-1", this.options.service(),
				this.options.slotsPerWorker(), this.options.connectionsPerWorker(), this.options.processorsPerWorker(),
				this.options.memoryMegabytesPerWorker(), 0);
	}

	private <T extends AutoCloseable> T registerResource(T resource) {
		this.resources.push(resource);
		return resource;
	}

	private static void closeQuietly(AutoCloseable resource) {
		try {
			resource.close();
		}
		catch (Exception ex) {
			System.err.println("Can't close " + resource + ": " + ex);
		}
	}

}
