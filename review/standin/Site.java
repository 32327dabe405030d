import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadFactory;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on the loopback interface: the project's entry hosts as processes, with the command of the
 * deploy file, and a store, workers and clients in this process.
 */
final class Site implements AutoCloseable {

	static final String SERVICE = "svc-a";

	static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

	private static final long BEAT_MILLIS = 1_500;

	private static final Random RANDOM = new Random();

	/** A loopback address for this play alone, so that plays beside each other share no ports. */
	static final String IP = chooseAddress();

	private static final Set<Integer> USED_PORTS = new HashSet<>();

	private static final long START_NANOS = System.nanoTime();

	final Store store;

	final List<Host> hosts = new ArrayList<>();

	final List<Worker> workers = new CopyOnWriteArrayList<>();

	final Map<String, Job> jobs = new ConcurrentHashMap<>();

	final List<Worker.Run> runs = new CopyOnWriteArrayList<>();

	private final Map<String, List<Worker.Run>> gangs = new ConcurrentHashMap<>();

	private final Path folder;

	private final PrintWriter recordFile;

	private final int storePort;

	private final String[] command;

	private volatile boolean closed;

	Site(Path recordPath) throws IOException {
		this.recordFile = new PrintWriter(Files.newBufferedWriter(recordPath), true);
		this.folder = Files.createTempDirectory("review");
		this.storePort = freePort();
		this.store = new Store(this.storePort);
		this.command = deployCommand();
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
		Thread ticker = daemons("ticker").newThread(this::tickWorkers);
		ticker.start();
	}

	private static String[] deployCommand() throws IOException {
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("the deploy file has no run line");
		}
		return run.group(1).split(" ");
	}

	private static String chooseAddress() {
		String chosen = "127." + (1 + RANDOM.nextInt(250)) + "." + (1 + RANDOM.nextInt(250)) + ".1";
		try (ServerSocket socket = new ServerSocket()) {
			socket.bind(new InetSocketAddress(chosen, 0));
			return chosen;
		}
		catch (IOException ex) {
			return "127.0.0.1";
		}
	}

	static Random random() {
		return RANDOM;
	}

	static String hex(int length) {
		StringBuilder out = new StringBuilder();
		while (out.length() < length) {
			out.append(Integer.toHexString(RANDOM.nextInt(16)));
		}
		return out.toString();
	}

	static long now() {
		return (System.nanoTime() - START_NANOS) / 1_000_000;
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static ThreadFactory daemons(String name) {
		return (task) -> {
			Thread thread = new Thread(task, name);
			thread.setDaemon(true);
			return thread;
		};
	}

	/** Returns a free port below those that the system gives to outgoing connections. */
	static synchronized int freePort() throws IOException {
		for (int attempt = 0; attempt < 200; attempt++) {
			int port = 12_000 + RANDOM.nextInt(18_000);
			if (!USED_PORTS.add(port)) {
				continue;
			}
			try (ServerSocket socket = new ServerSocket()) {
				socket.bind(new InetSocketAddress(Site.IP, port));
				return port;
			}
			catch (IOException ex) {
				// Another process uses it.
			}
		}
		throw new IOException("no free port was found");
	}

	synchronized void record(String line) {
		this.recordFile.printf("%7d %s%n", now(), line);
	}

	private void tickWorkers() {
		long beatMillis = now();
		while (!this.closed) {
			this.workers.forEach(Worker::tick);
			if (now() - beatMillis >= BEAT_MILLIS) {
				beatMillis = now();
				this.workers.forEach(Worker::beat);
			}
			sleep(4);
		}
	}

	/** Writes a config with one queue for each priority given. */
	void config(int version) {
		StringBuilder out = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
		for (int priority = 0; priority < 3; priority++) {
			out.append(priority > 0 ? "," : "")
				.append("{\"name\":\"r-" + priority + "\",\"hostname\":\"jobs.example\",\"path_prefix\":\"/q" + priority
						+ "/\",\"type\":\"non_idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":60,\"priority\":"
						+ priority + ",\"service\":\"" + SERVICE + "\",\"max_attempts\":" + Rules.MAX_ATTEMPTS
						+ ",\"stretch\":1.6}");
		}
		out.append("],\"services\":[{\"name\":\"" + SERVICE + "\",\"health_path\":\"/health\","
				+ "\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,\"enforces_capacity\":true,"
				+ "\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
				+ "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
		this.store.put("keyed.op", "config", out.toString());
	}

	Worker addWorker(String zone, String kind, int cpu) throws IOException {
		Worker worker = new Worker(this, zone, kind, cpu);
		worker.start(true);
		this.workers.add(worker);
		return worker;
	}

	/** Starts one entry host a zone and waits until all are ready. */
	void startHosts(int count) throws IOException {
		for (int number = 0; number < count; number++) {
			this.hosts.add(new Host("edge-" + (number + 1), ZONES.get(number % ZONES.size())));
		}
		for (Host host : this.hosts) {
			host.start(true);
		}
		for (Host host : this.hosts) {
			if (!host.awaitReady(40_000)) {
				throw new IOException(host.name + " does not get ready");
			}
		}
	}

	/** Returns the host that commands the workers now, by the log lines of its last claim. */
	Host owner(Host... except) {
		Host newest = null;
		long token = -1;
		for (Host host : this.hosts) {
			long hostToken = host.lastClaimToken();
			if (hostToken > token && !List.of(except).contains(host)) {
				token = hostToken;
				newest = host;
			}
		}
		return newest;
	}

	Job.Step stepOf(String task) {
		String[] parts = task.split("\\.");
		Job job = this.jobs.get(parts[0]);
		int step = Integer.parseInt(parts[2]);
		return (job == null || step >= job.steps.size()) ? null : job.steps.get(step);
	}

	void started(Worker.Run run) {
		this.runs.add(run);
		record("started " + run);
		if (run.isGang()) {
			List<Worker.Run> members = this.gangs.computeIfAbsent(run.gangKey(), (key) -> new CopyOnWriteArrayList<>());
			members.add(run);
			if (members.size() == run.step.count()) {
				members.forEach((member) -> member.beganMillis = now());
			}
		}
	}

	void memberEnded(Worker.Run run) {
		if (run.isGang() && !run.how.equals("done") && !run.how.equals("alone")) {
			this.gangs.getOrDefault(run.gangKey(), List.of()).forEach((member) -> member.brokenMember = true);
		}
	}

	/**
	 * Sends one request to a host on a connection of its own.
	 * @return the status and the body, or null if there was no complete answer in time
	 */
	Reply request(Host host, String method, String path, String body, int timeoutMillis) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(Site.IP, host.callerPort), 500);
			socket.setSoTimeout(timeoutMillis);
			byte[] content = body.getBytes(StandardCharsets.UTF_8);
			String head = method + " " + path + " HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n"
					+ "X-Timeout-Ms: " + timeoutMillis + "\r\nConnection: close\r\nContent-Length: " + content.length
					+ "\r\n\r\n";
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			out.writeBytes(head.getBytes(StandardCharsets.UTF_8));
			out.writeBytes(content);
			socket.getOutputStream().write(out.toByteArray());
			InputStream in = socket.getInputStream();
			String answer = new String(in.readAllBytes(), StandardCharsets.UTF_8);
			int headEnd = answer.indexOf("\r\n\r\n");
			if (headEnd < 0) {
				return null;
			}
			return new Reply(Integer.parseInt(answer.split(" ")[1]), answer.substring(headEnd + 4));
		}
		catch (IOException ex) {
			return null;
		}
	}

	/** Submits a job as a client does: again after no answer, a broken connection, 502 or 504. */
	boolean submit(Job job, List<Host> entryHosts) {
		this.jobs.put(job.id, job);
		for (int attempt = 0; attempt < 6; attempt++) {
			Host host = entryHosts.get(attempt % entryHosts.size());
			Reply reply = request(host, "POST", job.prefix + job.id, job.body(), 14_000);
			job.answers += (reply == null) ? "none " : reply.status() + " ";
			record("client POST " + job.id + " at " + host.name + " -> " + reply);
			if (reply != null && reply.status() / 100 == 2) {
				job.ackMillis = now();
				return true;
			}
			if (reply != null && reply.status() != 502 && reply.status() != 504) {
				return false;
			}
			sleep(1_300);
		}
		return false;
	}

	Reply query(Job job, Host host) {
		Reply reply = request(host, "GET", job.prefix + job.id, "", 2_000);
		if (reply != null && reply.status() == 200) {
			job.shown = Json.string(Json.object(reply.body()), "state");
		}
		record("client GET " + job.id + " at " + host.name + " -> " + reply);
		return reply;
	}

	/** Cancels a job as a client does; 2xx and 410 acknowledge it. */
	void cancel(Job job, Host host) {
		job.cancelSent = true;
		Reply reply = request(host, "DELETE", job.prefix + job.id, "", 2_000);
		record("client DELETE " + job.id + " at " + host.name + " -> " + reply);
		if (reply != null && (reply.status() == 410 || reply.status() / 100 == 2)) {
			job.cancelAckMillis = now();
		}
	}

	List<Worker.Run> runsOf(Job job) {
		return this.runs.stream().filter((run) -> run.jobId().equals(job.id)).toList();
	}

	/** Returns whether a task of a job has ended as done by a time. */
	boolean isDone(Job job, int occurrence, int step, int index) {
		String task = job.id + "." + occurrence + "." + step + "." + index;
		return this.runs.stream().anyMatch((run) -> run.task.equals(task) && run.how.equals("done"));
	}

	boolean isStepDone(Job job, int step) {
		int count = job.steps.get(step).count();
		for (int index = 0; index < count; index++) {
			if (!isDone(job, 0, step, index)) {
				return false;
			}
		}
		return true;
	}

	boolean isRunning(Job job) {
		return this.runs.stream().anyMatch((run) -> run.jobId().equals(job.id) && run.endMillis < 0);
	}

	int usedCpu() {
		return this.runs.stream().filter((run) -> run.endMillis < 0).mapToInt((run) -> run.step.cpu()).sum();
	}

	int totalCpu() {
		return this.workers.stream().filter(Worker::isUp).mapToInt((worker) -> worker.cpu).sum();
	}

	@Override
	public void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		this.hosts.forEach(Host::kill);
		this.recordFile.flush();
		if (System.getenv("KEEP_LOGS") != null) {
			System.out.println("logs of the hosts: " + this.folder);
			return;
		}
		try (Stream<Path> files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
		}
		catch (IOException ex) {
			System.out.println("temporary files are left: " + ex.getMessage());
		}
	}

	record Reply(int status, String body) {

		@Override
		public String toString() {
			return this.status + " " + this.body;
		}

	}

	/** An entry host: a process with the command of the deploy file. */
	final class Host {

		final String name;

		final String zone;

		final int callerPort;

		private final int readinessPort;

		private final int controlPort;

		private final int peerPort;

		private final int metricsPort;

		private final Path log;

		private Process process;

		Host(String name, String zone) throws IOException {
			this.name = name;
			this.zone = zone;
			this.callerPort = freePort();
			this.readinessPort = freePort();
			this.controlPort = freePort();
			this.peerPort = freePort();
			this.metricsPort = freePort();
			this.log = Site.this.folder.resolve(name + ".log");
		}

		void start(boolean firstStart) throws IOException {
			Path settings = Site.this.folder.resolve(this.name + ".conf");
			List<String> lines = new ArrayList<>(List.of("node=" + this.name, "role=entry-host", "machine_class=edge",
					"serves=edge", "ip=" + Site.IP, "zone=" + this.zone, "region=region-a",
					"listen.frontend=" + Site.IP + ":" + this.callerPort, "listen.readiness=" + Site.IP + ":" + this.readinessPort,
					"listen.control=" + Site.IP + ":" + this.controlPort,
					"internal_ports=" + this.peerPort + "," + this.metricsPort,
					"seeds=" + Site.IP + ":" + Site.this.hosts.get(0).controlPort, "bootstrap=" + firstStart,
					"fault_counted=false", "limits.cpu_share=0.75", "limits.cores=1", "limits.memory_mb=430",
					"limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform",
					"entry=virtual_ip", "heartbeat_ms=1500",
					"contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
					"fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0"));
			for (String zoneName : ZONES) {
				lines.add("zones." + zoneName + "=region-a");
			}
			lines.addAll(Arrays.asList(("seed_lag_s=3 reuse_after_s=2 contact_ms=3000 ack_ms=4000 catch_up_s=4 "
					+ "drain_ms=2000 grace_s=6 loss_slack_ms=200 config_apply_ms=2000 downgrade_slack_ms=250 "
					+ "max_skew_ms=5000 recovery_s=12 hold_max_ms=1000 stop_ms=50 gang_ms=3000 cancel_ms=3000 "
					+ "visible_ms=3000 early_ms=250 finish_s=14 status_s=120 spread_factor=2 checkpoint_s=0.5 "
					+ "restore_ms=100 notice_ms=4500 migration_s=1.5 maintenance_s=2 require_fencing=true "
					+ "lease_ms=3000 thaw_ms=300 pace_ms=100 impact_ms=4000 retransmit_ms=1300")
				.split(" ")).stream().map((bound) -> "bounds." + bound).toList());
			lines.addAll(List.of("orders=invocation", "platform.address=" + Site.IP + ":" + Site.this.storePort,
					"platform.form=log", "platform.writes_per_s=800", "platform.reads_per_s=2000", "platform.parts=24",
					"platform.append_ms=1.0", "platform.record_bytes=262144", "platform.request_bytes=2097152",
					"platform.keep_s=300", "platform.partition_mb=200", "platform.min_ttl_ms=1000"));
			Files.write(settings, lines);
			ProcessBuilder builder = new ProcessBuilder(Site.this.command);
			builder.environment().put("MASTICWICK_NODE_FILE", settings.toString());
			builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
			this.process = builder.start();
			record("host " + this.name + " (" + this.zone + ") is started");
		}

		boolean awaitReady(long limitMillis) {
			long untilMillis = now() + limitMillis;
			while (now() < untilMillis) {
				if (isReady()) {
					record("host " + this.name + " is ready");
					return true;
				}
				sleep(100);
			}
			return false;
		}

		boolean isReady() {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress(Site.IP, this.readinessPort), 200);
				socket.setSoTimeout(500);
				socket.getOutputStream()
					.write("GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".getBytes());
				return new String(socket.getInputStream().readAllBytes()).startsWith("HTTP/1.1 200");
			}
			catch (IOException ex) {
				return false;
			}
		}

		long lastClaimToken() {
			long token = -1;
			Pattern applied = Pattern.compile("\"owner\":\"" + this.name + "\".*\"token\":(\\d+)");
			try (BufferedReader in = Files.newBufferedReader(this.log)) {
				for (String line = in.readLine(); line != null; line = in.readLine()) {
					Matcher matcher = line.contains("Newer claim") ? applied.matcher(line) : null;
					if (matcher != null && matcher.find()) {
						token = Math.max(token, Long.parseLong(matcher.group(1)));
					}
				}
			}
			catch (IOException ex) {
				return token;
			}
			return token;
		}

		boolean isAlive() {
			return this.process != null && this.process.isAlive();
		}

		/** SIGKILL. */
		void kill() {
			if (isAlive()) {
				this.process.destroyForcibly();
				record("host " + this.name + " is killed");
				try {
					this.process.waitFor();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		}

		/** SIGTERM. */
		void terminate() {
			record("host " + this.name + " gets SIGTERM");
			this.process.destroy();
		}

		/** Sends another signal, as STOP and CONT. */
		void signal(String signal) throws IOException {
			record("host " + this.name + " gets SIG" + signal);
			new ProcessBuilder("kill", "-" + signal, String.valueOf(this.process.pid())).start();
		}

	}

}
