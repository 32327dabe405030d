package review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: hosts as processes, and the store and the
 * workers as stand-ins in this process.
 */
final class Site implements AutoCloseable {

	static final String CALLER_HOST = "nony24.example";

	static final String PREFIX = "/lohu930/";

	static final List<String> ZONES = List.of("quetzal-norte", "solola-lago", "toto-centro");

	private static final String SERVICE = "huvo11a";

	private static final long HEARTBEAT_MILLIS = 1_500;

	private static final long TICK_MILLIS = 3;

	private static final long START_LIMIT_MILLIS = 30_000;

	/** An entry is removed after this many heartbeat intervals of silence. */
	private static final int MAX_MISSED_BEATS = 3;

	private static final String CONFIG = "{\"version\":7,\"routes\":[{\"name\":\"r-3hwrr6x\",\"hostname\":\""
			+ CALLER_HOST + "\",\"path_prefix\":\"" + PREFIX
			+ "\",\"type\":\"non_idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":60,\"priority\":0,\"service\":\""
			+ SERVICE + "\",\"max_attempts\":3,\"stretch\":1.6}],\"services\":[{\"name\":\"" + SERVICE
			+ "\",\"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,"
			+ "\"enforces_capacity\":true,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,"
			+ "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

	final Record record;

	final Store store;

	final Ledger ledger;

	final List<Host> hosts = new ArrayList<>();

	final List<Worker> workers = new ArrayList<>();

	private final Map<String, Integer> demandByJob = new ConcurrentHashMap<>();

	private final Map<String, Integer> missedBeats = new ConcurrentHashMap<>();

	private final Path folder;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, (action) -> {
		Thread thread = new Thread(action);
		thread.setDaemon(true);
		return thread;
	});

	private final Thread closeAtExit = new Thread(this::killAll);

	/**
	 * Starts a site.
	 * @param record where to write what happens
	 * @param hostsPerZone the number of hosts in each failure domain
	 * @param workersPerZone the number of workers in each failure domain
	 * @param workersPerRack the number of workers in a rack
	 * @param detailed whether to record each run
	 */
	Site(Record record, int hostsPerZone, int workersPerZone, int workersPerRack, boolean detailed)
			throws IOException {
		this.record = record;
		this.store = new Store(record);
		this.ledger = new Ledger(record, detailed);
		this.folder = Files.createTempDirectory("review-3-");
		Random random = new Random();
		String network = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + ".";
		String standInIp = network + "250";
		List<String> command = command();
		List<String> siteSettings = settings(network);
		for (int number = 0; number < hostsPerZone * ZONES.size(); number++) {
			String zone = ZONES.get(number % ZONES.size());
			String name = "edge-" + zone + "-" + (1 + number / ZONES.size());
			String storeAddress = standInIp + ":" + this.store.listen(standInIp, name);
			this.hosts.add(new Host(name, zone, network + (1 + number), command, siteSettings, storeAddress,
					this.folder));
		}
		for (int number = 0; number < workersPerZone * ZONES.size(); number++) {
			String labels = "\"a\",\"r" + (number / workersPerRack) + "\"";
			String zone = ZONES.get(number / workersPerZone);
			this.workers.add(new Worker("i-" + (1_000 + number), zone, SERVICE, labels, 16_000, this.demandByJob,
					standInIp, this.ledger));
		}
		Runtime.getRuntime().addShutdownHook(this.closeAtExit);
		start();
	}

	private static List<String> command() throws IOException {
		return Files.readAllLines(Path.of("deploy/system.toml"))
			.stream()
			.filter((line) -> line.startsWith("run = "))
			.map((line) -> List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")))
			.findFirst()
			.orElseThrow();
	}

	private static List<String> settings(String network) {
		return Stream
			.concat(ZONES.stream().map((zone) -> "zones." + zone + "=occidente"), Stream.of("role=entry-host",
					"machine_class=edge", "serves=edge", "region=occidente", "seeds=" + network + "1:18166",
					"limits.cpu_share=0.75", "limits.cores=1", "limits.memory_mb=430", "limits.max_fds=4100",
					"discovery=platform", "entry=virtual_ip", "heartbeat_ms=" + HEARTBEAT_MILLIS,
					"contracts=base,drain,config,cost,recover,sched,platform", "fault_tolerance.machines=2",
					"fault_tolerance.zones=1", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.grace_s=6",
					"bounds.config_apply_ms=2000", "bounds.hold_max_ms=1000", "bounds.stop_ms=50",
					"bounds.gang_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.finish_s=14",
					"bounds.status_s=120", "bounds.retransmit_ms=1300", "orders=invocation", "platform.form=log",
					"platform.writes_per_s=600", "platform.reads_per_s=2000", "platform.parts=24",
					"platform.append_ms=1.0", "platform.record_bytes=262144", "platform.request_bytes=2097152",
					"platform.keep_s=300", "platform.partition_mb=200"))
			.toList();
	}

	private void start() {
		this.timer.scheduleAtFixedRate(() -> this.workers.forEach(Worker::tick), 0, TICK_MILLIS,
				TimeUnit.MILLISECONDS);
		this.store.put("keyed.op", "config", CONFIG);
		this.workers.forEach((worker) -> this.store.put("keyed.servers", worker.id, worker.beat()));
		for (int number = 0; number < this.workers.size(); number++) {
			Worker worker = this.workers.get(number);
			this.timer.scheduleAtFixedRate(() -> beat(worker), HEARTBEAT_MILLIS + 50L * number, HEARTBEAT_MILLIS,
					TimeUnit.MILLISECONDS);
		}
		this.hosts.forEach((host) -> host.start(true));
	}

	private void beat(Worker worker) {
		String entry = worker.beat();
		if (!entry.isEmpty()) {
			this.missedBeats.remove(worker.id);
			this.store.put("keyed.servers", worker.id, entry);
		}
		else if (this.missedBeats.merge(worker.id, 1, Integer::sum) == MAX_MISSED_BEATS) {
			this.store.put("keyed.servers", worker.id, "");
			this.record.line("the entry of " + worker.id + " is removed from the store");
		}
	}

	/**
	 * Waits until all hosts are ready and one host has owned all failure domains for some
	 * seconds, as it does on a small site.
	 * @return that host, or {@code null} if that takes too long
	 */
	Host awaitSingleOwner() {
		long limitMillis = Clock.nowMillis() + START_LIMIT_MILLIS;
		while (Clock.nowMillis() < limitMillis) {
			Clock.sleep(500);
			Map<String, String> owners = this.store.owners();
			boolean single = owners.size() == ZONES.size() && new HashSet<>(owners.values()).size() == 1;
			if (single && this.hosts.stream().allMatch(Host::isReady)) {
				Clock.sleep(2_000);
				if (owners.equals(this.store.owners())) {
					return host(owners.get(ZONES.get(0)));
				}
			}
		}
		this.record.line("the site was not ready in time: " + this.store.owners());
		return null;
	}

	Host host(String name) {
		return this.hosts.stream().filter((host) -> host.name.equals(name)).findFirst().orElseThrow();
	}

	/**
	 * Sends a request of a client and records it.
	 */
	HttpResponse send(Host host, String method, String jobId, String body, int timeoutMillis) {
		HttpResponse response = host.send(method, PREFIX + jobId, body, timeoutMillis);
		this.record.line(method + " " + jobId + " at " + host.name + ": "
				+ ((response.status() == HttpResponse.NONE) ? "no answer" : response.status() + " " + response.text()));
		return response;
	}

	/**
	 * Submits a job.
	 * @param host the host
	 * @param jobId the id of the job
	 * @param cpuMillicores what each task takes
	 * @param body the job
	 * @param timeoutMillis how long the client waits, in milliseconds
	 * @return the answer
	 */
	HttpResponse submit(Host host, String jobId, int cpuMillicores, String body, int timeoutMillis) {
		this.demandByJob.put(jobId, cpuMillicores);
		this.record.line("POST " + jobId + " " + body);
		return send(host, "POST", jobId, body, timeoutMillis);
	}

	/**
	 * Returns the share of the workers' processor that is in use.
	 */
	double usedShare() {
		List<Worker> sound = this.workers.stream().filter((worker) -> !worker.isDark()).toList();
		return sound.stream().mapToInt(Worker::usedMillicores).sum()
				/ (double) sound.stream().mapToInt(Worker::cpuMillicores).sum();
	}

	/**
	 * Counts how many more tasks the sound workers have room for.
	 */
	int freeTaskCount(int cpuMillicores) {
		return this.workers.stream()
			.filter((worker) -> !worker.isDark())
			.mapToInt((worker) -> Math.max(0, worker.cpuMillicores() - worker.usedMillicores()) / cpuMillicores)
			.sum();
	}

	private void killAll() {
		this.hosts.forEach(Host::kill);
	}

	@Override
	public void close() throws IOException {
		killAll();
		this.hosts.forEach((host) -> host.awaitExit(2_000));
		this.timer.shutdownNow();
		Runtime.getRuntime().removeShutdownHook(this.closeAtExit);
		if (System.getenv("KEEP_LOGS") != null) {
			System.err.println("logs: " + this.folder);
			return;
		}
		try (Stream<Path> files = Files.list(this.folder)) {
			for (Path file : files.toList()) {
				Files.delete(file);
			}
		}
		Files.delete(this.folder);
	}

}
