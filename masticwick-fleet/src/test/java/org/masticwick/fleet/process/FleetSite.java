package org.masticwick.fleet.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.awaitility.Awaitility;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.JobSchedule;
import org.masticwick.core.pool.JobStatus;
import org.masticwick.core.pool.Resources;
import org.masticwick.core.pool.StepSpec;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.fleet.connection.HttpCall;
import org.masticwick.fleet.connection.HttpReply;
import org.masticwick.fleet.connection.NewRecord;
import org.masticwick.fleet.connection.PooledHttpClient;
import org.masticwick.fleet.connection.SharedTopic;
import org.masticwick.fleet.request.CallerFormat;
import org.masticwick.fleet.request.SubmittedJob;
import org.masticwick.fleet.version.InvalidRecordException;
import org.masticwick.fleet.version.QueueRule;
import org.masticwick.fleet.version.RequestLimits;
import org.masticwick.fleet.version.SiteFormat;
import org.masticwick.fleet.version.SiteVersion;

/**
 * Entry hosts on loopback with an in-memory log and in-memory endpoints. The content of a
 * version is its number; that of an endpoint its failure domain, whether it is ready, its
 * capacity and its start time, if they differ from the usual ones.
 */
final class FleetSite implements AutoCloseable {

	static final String IP = "127.0.0.1";

	private static final long DEFAULT_ESTIMATE_MILLIS = 100;

	private static final Duration START_TIMEOUT = Duration.ofSeconds(20);

	/** So little processor time that no host can own the endpoints of all domains. */
	static final int WEAK_PROCESSOR_MILLICORES = 5;

	static final String DRAIN_KEY_PREFIX = "drain-";

	private final InMemoryLog log = new InMemoryLog();

	private final InMemoryEndpoints endpoints;

	private final Map<String, Host> hosts = new ConcurrentHashMap<>();

	private final Map<String, UnreliableTransport> transports = new ConcurrentHashMap<>();

	private final EventLoopGroup callerLoops = new NioEventLoopGroup(1);

	private final PooledHttpClient httpCaller = new PooledHttpClient(this.callerLoops.next(), 1_000, 4);

	private final long estimateMillis;

	private long nextIncarnation = 1;

	private boolean firstStart;

	FleetSite(long runMillis) {
		this(runMillis, DEFAULT_ESTIMATE_MILLIS);
	}

	/**
	 * Creates a site without hosts.
	 * @param runMillis the run time of tasks in milliseconds
	 * @param estimateMillis the run time that callers estimate, in milliseconds
	 */
	FleetSite(long runMillis, long estimateMillis) {
		this.endpoints = new InMemoryEndpoints(runMillis);
		this.estimateMillis = estimateMillis;
		publish(1);
	}

	/**
	 * Lets hosts that are started from now on take part in the first start of the site.
	 */
	void startForTheFirstTime() {
		this.firstStart = true;
	}

	InMemoryLog log() {
		return this.log;
	}

	InMemoryEndpoints endpoints() {
		return this.endpoints;
	}

	/**
	 * Returns the owner of a pool by the newest claim in the log.
	 * @param pool the name of the pool
	 * @return the name of the host, or {@code none}
	 */
	String claimOwner(String pool) {
		return this.log.latest(SharedTopic.MEMBERS)
			.stream()
			.filter((member) -> member.key().equals(PoolOwnership.CLAIM_KEY_PREFIX + pool))
			.map((claim) -> ClaimRecord.read(claim.value()).owner().hostName())
			.findFirst()
			.orElse("none");
	}

	void publish(long number) {
		this.log.append(SharedTopic.OPERATORS, List.of(record("version", Long.toString(number))));
	}

	void listEndpoint(String id, String domain, boolean ready) {
		this.log.append(SharedTopic.ENDPOINTS, List.of(record(id, domain + "," + ready)));
	}

	void listEndpoint(String id, String domain, long cpuMillicores) {
		this.log.append(SharedTopic.ENDPOINTS, List.of(record(id, domain + ",true," + cpuMillicores)));
	}

	void unlistEndpoint(String id) {
		this.log.append(SharedTopic.ENDPOINTS, List.of(NewRecord.deletion(id)));
	}

	void drain(String domain) {
		this.log.append(SharedTopic.OPERATORS, List.of(record(DRAIN_KEY_PREFIX + domain, "{}")));
	}

	void returnToService(String domain) {
		this.log.append(SharedTopic.OPERATORS, List.of(NewRecord.deletion(DRAIN_KEY_PREFIX + domain)));
	}

	static NewRecord record(String key, String value) {
		return new NewRecord(key, value.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Starts a site with an endpoint and an owner in each of two failure domains, none of
	 * which can own the endpoints of both, and waits until it serves jobs.
	 * @param hostNames the names of further hosts in the first failure domain
	 */
	void startWithTwoOwners(String... hostNames) {
		listEndpoint("e1", "d1", true);
		listEndpoint("e2", "d2", true);
		start("owner-1", "d1", 2 * WEAK_PROCESSOR_MILLICORES);
		awaitReady("owner-1");
		start("owner-2", "d2", 2 * WEAK_PROCESSOR_MILLICORES);
		List.of(hostNames).forEach((hostName) -> start(hostName, "d1", WEAK_PROCESSOR_MILLICORES));
		awaitReady("owner-2");
		List.of(hostNames).forEach(this::awaitReady);
		Awaitility.await()
			.atMost(START_TIMEOUT)
			.until(() -> claimOwner("d1").equals("owner-1") && claimOwner("d2").equals("owner-2"));
	}

	void awaitReady(String hostName) {
		Awaitility.await().atMost(START_TIMEOUT).until(() -> isReady(hostName));
	}

	void start(String hostName, String domain) {
		start(hostName, domain, 750);
	}

	void start(String hostName, String domain, int processorMillicores) {
		int[] ports = freePorts(4);
		EventLoopGroup loops = new NioEventLoopGroup(1);
		FleetSettings settings = new FleetSettings(hostName, domain, List.of("d1", "d2"), new HostAddress(IP, ports[0]),
				new HostAddress(IP, ports[1]), new HostAddress(IP, ports[2]), new HostAddress(IP, ports[3]), 6_000,
				processorMillicores, this.firstStart);
		EntryHost identity = new EntryHost(domain, settings.peerAddress(), new Incarnation(this.nextIncarnation++, 1));
		FleetHost host = new FleetHost(loops, settings, identity, this.log.clientOf(hostName, loops.next()),
				this.log.clientOf(hostName, loops.next()), this.endpoints.clientOn(loops.next()), new TextSiteFormat(),
				new TextCallerFormat(this.estimateMillis));
		host.decorateTransport((transport) -> {
			UnreliableTransport unreliable = new UnreliableTransport(transport, loops.next());
			this.transports.put(hostName, unreliable);
			return unreliable;
		});
		host.start();
		this.hosts.put(hostName, new Host(settings, host, loops));
	}

	/**
	 * Ends a host without handover or answers, as the kill of its process would.
	 * @param hostName the name of the host
	 */
	void kill(String hostName) {
		Host host = this.hosts.remove(hostName);
		host.loops().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
	}

	/**
	 * Returns the transport on which a host sends to its peers.
	 * @param hostName the name of the host
	 * @return the transport
	 */
	UnreliableTransport transport(String hostName) {
		return this.transports.get(hostName);
	}

	/**
	 * Returns the address at which a host receives the messages of its peers.
	 * @param hostName the name of the host
	 * @return the address
	 */
	HostAddress peerAddress(String hostName) {
		return this.hosts.get(hostName).settings().peerAddress();
	}

	/**
	 * Pauses a host as a frozen process is: the kernel goes on to accept its connections
	 * and to receive its data.
	 * @param hostName the name of the host
	 * @param millis for how long, in milliseconds
	 */
	void pause(String hostName, long millis) {
		this.hosts.get(hostName).loops().execute(() -> {
			try {
				TimeUnit.MILLISECONDS.sleep(millis);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
	}

	void stopGracefully(String hostName) {
		this.hosts.get(hostName).host().stopGracefully();
	}

	List<String> hostNames() {
		return this.hosts.keySet().stream().sorted().toList();
	}

	boolean isReady(String hostName) {
		return call(this.hosts.get(hostName).settings().readinessAddress(), "GET", "/ready", "").join().status() == 200;
	}

	String metrics(String hostName) {
		HttpReply reply = call(this.hosts.get(hostName).settings().metricsAddress(), "GET", "/metrics", "").join();
		return new String(reply.body(), StandardCharsets.UTF_8);
	}

	CompletableFuture<HttpReply> submit(String hostName, String jobId, int taskCount) {
		return call(this.hosts.get(hostName).settings().callerAddress(), "POST", "/q/" + jobId,
				Integer.toString(taskCount));
	}

	/**
	 * Submits a job of one task for a caller who disconnects before the answer.
	 * @param hostName the name of the host
	 * @param jobId the id of the job
	 * @param patienceMillis after how long the caller disconnects, in milliseconds
	 * @return completes when the caller has disconnected
	 */
	CompletableFuture<Void> submitAndDisconnect(String hostName, String jobId, long patienceMillis) {
		return call(this.hosts.get(hostName).settings().callerAddress(), "POST", "/q/" + jobId, "1", patienceMillis)
			.handle((reply, error) -> null);
	}

	CompletableFuture<HttpReply> call(String hostName, String method, String path, String body) {
		return call(this.hosts.get(hostName).settings().callerAddress(), method, path, body);
	}

	private CompletableFuture<HttpReply> call(HostAddress to, String method, String path, String body) {
		return call(to, method, path, body, 10_000);
	}

	private CompletableFuture<HttpReply> call(HostAddress to, String method, String path, String body,
			long timeoutMillis) {
		HttpCall call = new HttpCall(method, path, Map.of("Host", "site", "wait-millis", "8000"),
				body.getBytes(StandardCharsets.UTF_8), timeoutMillis);
		return this.httpCaller.call(to, call);
	}

	@Override
	public void close() {
		List.copyOf(this.hosts.keySet()).forEach(this::kill);
		this.callerLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	private static int[] freePorts(int count) {
		List<ServerSocket> sockets = new ArrayList<>();
		try {
			for (int index = 0; index < count; index++) {
				sockets.add(new ServerSocket(0, 1, InetAddress.getByName(IP)));
			}
			int[] ports = sockets.stream().mapToInt(ServerSocket::getLocalPort).toArray();
			for (ServerSocket socket : sockets) {
				socket.close();
			}
			return ports;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private record Host(FleetSettings settings, FleetHost host, EventLoopGroup loops) {
	}

	/**
	 * Reads the versions and endpoints that the test publishes as text.
	 */
	static final class TextSiteFormat implements SiteFormat {

		@Override
		public String versionKey() {
			return "version";
		}

		@Override
		public SiteVersion readVersion(byte[] content) {
			try {
				long number = Long.parseLong(new String(content, StandardCharsets.UTF_8));
				QueueRule queue = new QueueRule("queue", "site", "/q/", "service", 0, 2, 2, 200, 0, false);
				return new SiteVersion(number, List.of(queue), new RequestLimits(1_000, 1_000));
			}
			catch (NumberFormatException ex) {
				throw new InvalidRecordException("Version is not a number");
			}
		}

		@Override
		public Optional<String> drainedDomain(String recordKey) {
			return Optional.of(recordKey)
				.filter((key) -> key.startsWith(DRAIN_KEY_PREFIX))
				.map((key) -> key.substring(DRAIN_KEY_PREFIX.length()))
				.filter((domain) -> !domain.isEmpty());
		}

		// An endpoint at the address of another one that started earlier is its
		// successor.
		private static HostAddress address(String endpointId) {
			return new HostAddress(IP, 1 + Math.floorMod(endpointId.hashCode(), 60_000));
		}

		@Override
		public EndpointEntry readEndpoint(String endpointId, byte[] content) {
			String[] parts = new String(content, StandardCharsets.UTF_8).split(",");
			if (parts.length < 2) {
				throw new InvalidRecordException("Endpoint has not two fields");
			}
			long cpuMillicores = (parts.length > 2) ? Long.parseLong(parts[2]) : 8_000;
			long startedEpochMillis = (parts.length > 3) ? Long.parseLong(parts[3]) : 1;
			return new EndpointEntry(endpointId, "service", address(endpointId), parts[0],
					Boolean.parseBoolean(parts[1]), new Resources(cpuMillicores, 100, 0), Set.of(), startedEpochMillis);
		}

	}

	/**
	 * Reads a job from the number of its tasks, prefixed by {@code d} if it is durable.
	 */
	static final class TextCallerFormat implements CallerFormat {

		private final long estimateMillis;

		TextCallerFormat(long estimateMillis) {
			this.estimateMillis = estimateMillis;
		}

		@Override
		public String timeoutHeader() {
			return "wait-millis";
		}

		@Override
		public String readinessPath() {
			return "/ready";
		}

		@Override
		public SubmittedJob readJob(byte[] body) {
			try {
				String text = new String(body, StandardCharsets.UTF_8);
				int taskCount = Integer.parseInt(text.replaceFirst("^d", ""));
				StepSpec step = new StepSpec(taskCount, new Resources(1_000, 1, 0), this.estimateMillis, List.of(), "",
						"", 0);
				return new SubmittedJob("payload", List.of(step), !text.startsWith("d"), JobSchedule.IMMEDIATE,
						List.of());
			}
			catch (NumberFormatException ex) {
				throw new InvalidRecordException("Job is not a number of tasks");
			}
		}

		@Override
		public byte[] writeOutcome(boolean completed) {
			return (completed ? "completed" : "failed").getBytes(StandardCharsets.UTF_8);
		}

		@Override
		public byte[] writeJobStatus(JobStatus status) {
			return status.name().getBytes(StandardCharsets.UTF_8);
		}

		@Override
		public byte[] writeWaitingJobCount(int waitingCount) {
			return Integer.toString(waitingCount).getBytes(StandardCharsets.UTF_8);
		}

	}

}
