import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** A worker, as PROTOCOL.md tells it under "Running tasks". It guards its capacity. */
final class Worker {

	private static final long HOLD_MAX_MILLIS = 1_000;

	private static final long STOP_MILLIS = 30;

	private static final long GANG_MILLIS = 3_000;

	private final Site site;

	final String zone;

	private String kind;

	final int cpu;

	final int port;

	String id;

	long born;

	private HttpServer server;

	private long bootMillis;

	private long clockOffsetMillis;

	private long sequence;

	private long fence;

	private long leaseEndMillis;

	private long endCount;

	private final Map<String, Run> running = new HashMap<>();

	private final Map<String, Integer> finishedRuns = new HashMap<>();

	private final List<Run> ended = new ArrayList<>();

	private volatile boolean up;

	private volatile boolean draining;

	/** Whether requests are read and never answered. */
	volatile boolean mute;

	Worker(Site site, String zone, String kind, int cpu) throws IOException {
		this.site = site;
		this.zone = zone;
		this.kind = kind;
		this.cpu = cpu;
		this.port = Site.freePort();
	}

	boolean isUp() {
		return this.up;
	}

	boolean isDraining() {
		return this.draining;
	}

	/** Starts a life of the worker, with a new id or the one it had. */
	synchronized void start(boolean newId) throws IOException {
		if (newId || this.id == null) {
			this.id = "i-" + Site.hex(8);
		}
		this.born = System.currentTimeMillis();
		this.bootMillis = Site.now();
		this.clockOffsetMillis = 100_000 + Site.random().nextInt(400_000);
		this.sequence = 0;
		this.fence = 0;
		this.leaseEndMillis = 0;
		this.endCount = 0;
		this.running.clear();
		this.finishedRuns.clear();
		this.ended.clear();
		this.draining = false;
		this.server = HttpServer.create(new InetSocketAddress(Site.IP, this.port), 100);
		this.server.setExecutor(Executors.newCachedThreadPool(Site.daemons("worker")));
		this.server.createContext("/", this::handle);
		this.server.start();
		this.up = true;
		this.site.record("worker " + name() + " is up");
		beat();
	}

	/** Starts a new life of the worker under its id, as another kind. */
	void restartAs(String newKind) throws IOException {
		this.kind = newKind;
		start(false);
	}

	String kind() {
		return this.kind;
	}

	String name() {
		return this.id + "(" + this.zone + "," + this.kind + ")";
	}

	/** The worker crashes: it sends nothing, and what runs on it is gone. */
	void crash() {
		HttpServer old;
		synchronized (this) {
			this.up = false;
			old = this.server;
			this.running.values().forEach((run) -> run.end(Site.now(), "crash"));
			List.copyOf(this.running.values()).forEach((run) -> this.site.memberEnded(run));
			this.running.clear();
			notifyAll();
		}
		this.site.record("worker " + name() + " crashes");
		old.stop(0);
	}

	/** Reports that the worker is about to leave. */
	void drain() {
		this.draining = true;
		this.site.record("worker " + name() + " is draining");
		beat();
	}

	/** Writes the entry to the store, as each worker does about every heartbeat. */
	void beat() {
		if (!this.up) {
			return;
		}
		this.sequence++;
		this.site.store.put("keyed.servers", this.id,
				"{\"service\":\"" + Site.SERVICE + "\",\"address\":\"" + Site.IP + ":" + this.port + "\",\"zone\":\""
						+ this.zone + "\",\"version\":\"v1\",\"slots\":8,\"state\":\""
						+ (this.draining ? "draining" : "ready") + "\",\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":"
						+ this.cpu + ",\"mem_mb\":131072,\"gpu\":0},\"labels\":[\"" + this.kind + "\",\"r-" + this.zone
						+ "\"],\"born\":" + this.born + ",\"clock_ms\":" + clock() + ",\"sequence\":" + this.sequence
						+ "}");
	}

	private long clock() {
		return Site.now() - this.bootMillis + this.clockOffsetMillis;
	}

	private void handle(HttpExchange exchange) throws IOException {
		try {
			Map<String, Object> body = Json
				.object(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
			while (this.mute) {
				Thread.sleep(50);
			}
			String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
			if (expected != null && !expected.equals(this.id)) {
				reply(exchange, 421, "");
				return;
			}
			switch (exchange.getRequestURI().getPath()) {
				case "/run-start" -> runStart(exchange, body);
				case "/run-stop" -> runStop(exchange, body);
				case "/hold" -> hold(exchange, body);
				default -> Store.reply(exchange, 200, "{}".getBytes());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			exchange.close();
		}
	}

	private void reply(HttpExchange exchange, int status, String fields) throws IOException {
		String body = "{\"clock_ms\":" + clock() + ",\"born\":" + this.born + fields + "}";
		Store.reply(exchange, status, body.getBytes(StandardCharsets.UTF_8));
	}

	private boolean fenced(Map<String, Object> body) {
		long token = Json.number(body, "fencing_token", 0);
		if (token < this.fence) {
			return true;
		}
		this.fence = token;
		return false;
	}

	private void extend(Map<String, Object> body) {
		long until = Json.number(body, "until_ms", 0);
		long endMillis = Site.now() + Math.min(until - clock(), HOLD_MAX_MILLIS);
		this.leaseEndMillis = Math.max(this.leaseEndMillis, endMillis);
	}

	private void runStart(HttpExchange exchange, Map<String, Object> body) throws IOException {
		String refusal;
		synchronized (this) {
			tick();
			refusal = this.up ? tryStart(body) : "gone";
		}
		if (refusal.equals("gone")) {
			return;
		}
		reply(exchange, refusal.isEmpty() ? 200 : 409, refusal.isEmpty() ? "" : ",\"reason\":\"" + refusal + "\"");
	}

	private String tryStart(Map<String, Object> body) {
		String task = Json.string(body, "task");
		int number = (int) Json.number(body, "run", 0);
		if (fenced(body)) {
			return "fence";
		}
		Run present = this.running.get(task);
		if (present != null && present.number == number) {
			extend(body);
			return "";
		}
		if (present != null || this.finishedRuns.getOrDefault(task, 0) >= number) {
			extend(body);
			return "old";
		}
		if (Json.number(body, "until_ms", 0) <= clock()) {
			return "late";
		}
		Job.Step step = this.site.stepOf(task);
		int used = this.running.values().stream().mapToInt((run) -> run.step.cpu()).sum();
		extend(body);
		if (step != null && used + step.cpu() > this.cpu) {
			return "room";
		}
		Run run = new Run(this, task, number, step, Site.now());
		run.fencingToken = this.fence;
		Job job = this.site.jobs.get(run.jobId());
		if (job != null) {
			run.lasts = job.longRunning;
			run.failAtMillis = run.startMillis + job.failAfterMillis.getAsLong();
		}
		this.running.put(task, run);
		this.site.started(run);
		return "";
	}

	private void runStop(HttpExchange exchange, Map<String, Object> body) throws IOException {
		boolean fenced;
		synchronized (this) {
			tick();
			fenced = fenced(body);
			String task = Json.string(body, "task");
			int number = (int) Json.number(body, "run", 0);
			Run run = this.running.get(task);
			if (!fenced && run != null && run.number == number) {
				run.stopAtMillis = Math.min(run.stopAtMillis, Site.now() + STOP_MILLIS);
			}
			else if (!fenced && run == null) {
				this.finishedRuns.merge(task, number, Math::max);
			}
		}
		reply(exchange, fenced ? 409 : 200, fenced ? ",\"reason\":\"fence\"" : "");
	}

	private void hold(HttpExchange exchange, Map<String, Object> body) throws IOException, InterruptedException {
		String lists;
		synchronized (this) {
			tick();
			if (fenced(body)) {
				lists = null;
			}
			else {
				long cursor = Json.number(body, "ack_cursor", 0);
				for (Iterator<Run> ends = this.ended.iterator(); ends.hasNext();) {
					Run run = ends.next();
					if (run.endNumber <= cursor) {
						run.notedMillis = run.leaseLapsed ? -1 : Site.now();
						this.site.record("noted " + run + " " + run.how);
						ends.remove();
					}
				}
				if (body.containsKey("until_ms")) {
					extend(body);
				}
				long untilMillis = Site.now() + Math.min(2_000, Json.number(body, "wait_ms", 0));
				long bornBefore = this.born;
				while (this.up && this.ended.isEmpty() && Site.now() < untilMillis) {
					wait(Math.min(5, Math.max(1, untilMillis - Site.now())));
					tick();
				}
				if (!this.up || this.born != bornBefore) {
					return;
				}
				lists = lists();
			}
		}
		reply(exchange, (lists == null) ? 409 : 200, (lists == null) ? ",\"reason\":\"fence\"" : lists);
	}

	private String lists() {
		StringBuilder out = new StringBuilder(",\"running\":[");
		String comma = "";
		for (Run run : this.running.values()) {
			out.append(comma)
				.append("[\"" + run.task + "\"," + run.number + ",\"\"," + run.percent() + ",1]");
			comma = ",";
		}
		out.append("],\"ended\":[");
		comma = "";
		for (Run run : this.ended.subList(0, Math.min(500, this.ended.size()))) {
			out.append(comma)
				.append("[" + run.endNumber + ",\"" + run.task + "\"," + run.number + ",\"" + run.how + "\",\"\"]");
			comma = ",";
		}
		return out.append("]").toString();
	}

	/** Ends what has ended by now. */
	synchronized void tick() {
		long nowMillis = Site.now();
		if (!this.up) {
			return;
		}
		if (nowMillis >= this.leaseEndMillis) {
			this.ended.forEach((run) -> run.leaseLapsed = true);
		}
		for (Run run : List.copyOf(this.running.values())) {
			if (nowMillis >= this.leaseEndMillis) {
				finish(run, "lapsed");
			}
			else if (nowMillis >= run.stopAtMillis) {
				finish(run, "stopped");
			}
			else if (run.brokenMember) {
				finish(run, "broken");
			}
			else if (run.isGang() && run.beganMillis < 0 && nowMillis - run.startMillis > GANG_MILLIS) {
				finish(run, "alone");
			}
			else if (nowMillis >= run.failAtMillis) {
				finish(run, "failed");
			}
			else if (!run.lasts && run.beganMillis >= 0 && run.step != null
					&& nowMillis - run.beganMillis >= run.step.runMillis()) {
				finish(run, "done");
			}
		}
	}

	private void finish(Run run, String how) {
		this.running.remove(run.task);
		this.finishedRuns.merge(run.task, run.number, Math::max);
		run.endNumber = ++this.endCount;
		run.end(Site.now(), how);
		this.ended.add(run);
		this.site.record("ended " + run + " " + how);
		this.site.memberEnded(run);
		notifyAll();
	}

	/** One run of a task. */
	static final class Run {

		private static final long STARTUP_MILLIS = 300;

		final Worker worker;

		final String workerName;

		final String task;

		final int number;

		final Job.Step step;

		final long startMillis;

		long fencingToken;

		volatile long beganMillis;

		volatile long stopAtMillis = Long.MAX_VALUE;

		volatile boolean brokenMember;

		boolean lasts;

		long failAtMillis = Long.MAX_VALUE;

		volatile long endMillis = -1;

		volatile String how = "";

		volatile long endNumber;

		volatile long notedMillis = -1;

		/** Whether the lease of the worker has lapsed between the end and its being noted. */
		volatile boolean leaseLapsed;

		Run(Worker worker, String task, int number, Job.Step step, long startMillis) {
			this.worker = worker;
			this.workerName = worker.name();
			this.task = task;
			this.number = number;
			this.step = step;
			this.startMillis = startMillis;
			this.beganMillis = isGang() ? -1 : startMillis;
		}

		boolean isGang() {
			return this.step != null && this.step.gang();
		}

		String jobId() {
			return this.task.substring(0, this.task.indexOf('.'));
		}

		/** The step of one occurrence of a job. */
		String stepKey() {
			return this.task.substring(0, this.task.lastIndexOf('.'));
		}

		/** The key that all members of one run of a gang share. */
		String gangKey() {
			return stepKey() + "#" + this.number;
		}

		private int percent() {
			if (this.lasts) {
				return (Site.now() - this.startMillis > STARTUP_MILLIS) ? 100 : 0;
			}
			return (this.step == null || this.beganMillis < 0) ? 0
					: (int) Math.min(99, 100 * (Site.now() - this.beganMillis) / Math.max(1, this.step.runMillis()));
		}

		void end(long nowMillis, String newHow) {
			this.endMillis = nowMillis;
			this.how = newHow;
		}

		@Override
		public String toString() {
			return this.task + "#" + this.number + " on " + this.workerName;
		}

	}

}
