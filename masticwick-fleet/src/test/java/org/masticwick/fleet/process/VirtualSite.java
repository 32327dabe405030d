package org.masticwick.fleet.process;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.fleet.connection.NewRecord;
import org.masticwick.fleet.connection.SharedTopic;

/**
 * A site on simulated time: hosts in three failure domains, endpoints, a network and a
 * log. A seed determines all that happens.
 */
final class VirtualSite implements AutoCloseable {

	private static final String IP = "10.0.0.1";

	private static final List<String> DOMAINS = List.of("d1", "d2", "d3");

	private static final long STOP_GRACE_MILLIS = 6_000;

	private final VirtualTime time = new VirtualTime();

	private final Random random;

	private final VirtualTrace trace = new VirtualTrace(this.time);

	private final InMemoryLog log = new InMemoryLog();

	private final VirtualLog hostsLog;

	private final VirtualNetwork network;

	private final VirtualEndpoints endpoints;

	private final Map<String, Host> hosts = new LinkedHashMap<>();

	private final int processorMillicores;

	private long incarnationCount;

	VirtualSite(long seed) {
		this(seed, Size.ONE_OWNER);
	}

	VirtualSite(long seed, Size size) {
		this.random = new Random(seed);
		this.processorMillicores = size.processorMillicores;
		this.hostsLog = new VirtualLog(this.time, this.random, this.log);
		this.network = new VirtualNetwork(this.time, this.random);
		this.endpoints = new VirtualEndpoints(this.time, this.random, this.trace);
		Clock.useSource(this.time);
		this.log.append(SharedTopic.OPERATORS, List.of(FleetSite.record("version", "1")));
		IntStream.range(0, size.endpointCount).mapToObj((number) -> "e" + number).forEach((id) -> {
			this.endpoints.add(id);
			listEndpoint(id);
		});
		IntStream.range(0, size.hostCount).forEach((number) -> startHost("h" + number));
	}

	VirtualTime time() {
		return this.time;
	}

	Random random() {
		return this.random;
	}

	VirtualTrace trace() {
		return this.trace;
	}

	VirtualNetwork network() {
		return this.network;
	}

	VirtualLog hostsLog() {
		return this.hostsLog;
	}

	VirtualEndpoints endpoints() {
		return this.endpoints;
	}

	List<String> domains() {
		return DOMAINS;
	}

	static String domain(String name) {
		return DOMAINS.get(Integer.parseInt(name.substring(1)) % DOMAINS.size());
	}

	/**
	 * Writes the entry of an endpoint's present life.
	 * @param endpointId the id of the endpoint
	 */
	void listEndpoint(String endpointId) {
		this.log.append(SharedTopic.ENDPOINTS, List.of(FleetSite.record(endpointId,
				domain(endpointId) + ",true,5000," + this.endpoints.find(endpointId).startedEpochMillis())));
	}

	void unlistEndpoint(String endpointId) {
		this.log.append(SharedTopic.ENDPOINTS, List.of(NewRecord.deletion(endpointId)));
	}

	/**
	 * Starts a host, as a new incarnation if it ran before.
	 * @param name the name of the host
	 */
	void startHost(String name) {
		HostAddress address = new HostAddress(IP, 1_000 + Integer.parseInt(name.substring(1)));
		FleetSettings settings = new FleetSettings(name, domain(name), DOMAINS, address, address, address, address,
				STOP_GRACE_MILLIS, this.processorMillicores, false);
		EntryHost identity = new EntryHost(domain(name), address,
				new Incarnation(this.time.epochMillis(), ++this.incarnationCount));
		VirtualEventLoop eventLoop = new VirtualEventLoop(this.time, name);
		VirtualLog.Client logClient = this.hostsLog.clientOf(name, eventLoop);
		FleetHost host = new FleetHost(eventLoop, settings, identity, logClient, logClient,
				this.endpoints.clientOf(name, eventLoop), new FleetSite.TextSiteFormat(),
				new FleetSite.TextCallerFormat(500));
		host.start(new VirtualTransport(this.network, this.network.add(identity, eventLoop, host)));
		this.hosts.put(name, new Host(host, eventLoop, address));
	}

	/**
	 * Ends a host without handover or answers, as the kill of its process would.
	 * @param name the name of the host
	 */
	void kill(String name) {
		Host host = this.hosts.get(name);
		host.eventLoop().end();
		this.network.resetConnections(host.address(), 1);
	}

	List<String> hostNames() {
		return List.copyOf(this.hosts.keySet());
	}

	Host host(String name) {
		return this.hosts.get(name);
	}

	/**
	 * Returns the owner of a pool by the newest claim in the log.
	 * @param pool the name of the pool
	 * @return the name of the host, or that of the first host if there is no claim
	 */
	String owner(String pool) {
		return this.log.latest(SharedTopic.MEMBERS)
			.stream()
			.filter((member) -> member.key().equals(PoolOwnership.CLAIM_KEY_PREFIX + pool))
			.map((claim) -> ClaimRecord.read(claim.value()).owner().hostName())
			.findFirst()
			.orElse("h0");
	}

	@Override
	public void close() {
		Clock.useSystemSource();
	}

	/**
	 * The numbers of hosts and endpoints, which decide how many owners the site has.
	 */
	enum Size {

		/** One host owns all endpoints. */
		ONE_OWNER(6, 8, 750),

		/** No host can own all endpoints, so that each failure domain has an owner. */
		OWNER_PER_DOMAIN(9, 12, FleetSite.WEAK_PROCESSOR_MILLICORES);

		private final int hostCount;

		private final int endpointCount;

		private final int processorMillicores;

		Size(int hostCount, int endpointCount, int processorMillicores) {
			this.hostCount = hostCount;
			this.endpointCount = endpointCount;
			this.processorMillicores = processorMillicores;
		}

	}

	/**
	 * One incarnation of a host.
	 *
	 * @param process the host
	 * @param eventLoop its event loop
	 * @param address its address
	 */
	record Host(FleetHost process, VirtualEventLoop eventLoop, HostAddress address) {

		boolean isRunning() {
			return !this.eventLoop.isEnded();
		}

	}

}
