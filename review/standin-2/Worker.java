import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.sun.net.httpserver.HttpServer;

/** A worker of PROTOCOL.md with orders by invocation. */
final class Worker {

	private static final int HOLD_MAX_MILLIS = 1_000;

	private static final int STOP_MILLIS = 30;

	private static final int MAX_LISTED_ENDS = 500;

	private final Site site;

	private final String id;

	private final String zone;

	private final String ip;

	private final int port;

	private final long cpu;

	private List<String> labels;

	private HttpServer server;

	private long bornEpochMillis;

	private long bornMillis;

	private long sequence;

	private long fence;

	private long leaseEndMillis;

	private boolean leaseRuns;

	/** How often the lease has lapsed in this life. */
	private int lapseCount;

	private int endCount;

	private boolean cut;

	private volatile long lastCallMillis;

	private long lastBeatMillis;

	private boolean listed;

	private final Map<String, Run> running = new LinkedHashMap<>();

	private final Map<String, Integer> closedRuns = new HashMap<>();

	private final Deque<Ended> ended = new ArrayDeque<>();

	Worker(Site site, String id, String zone, String ip, int port, long cpu, List<String> labels) {
		this.site = site;
		this.id = id;
		this.zone = zone;
		this.ip = ip;
		this.port = port;
		this.cpu = cpu;
		this.labels = labels;
	}

	String id() {
		return this.id;
	}

	String zone() {
		return this.zone;
	}

	List<String> labels() {
		return this.labels;
	}

	synchronized boolean isUp() {
		return this.server != null;
	}

	/** How many ends the worker has to keep, as they are not acknowledged. */
	synchronized int endedCount() {
		return this.ended.size();
	}

	long sinceLastCallMillis() {
		return Record.nowMillis() - this.lastCallMillis;
	}

	/** Starts a life of the worker that knows nothing of the one before. */
	synchronized void boot() throws IOException {
		this.bornEpochMillis = System.currentTimeMillis();
		this.bornMillis = Record.nowMillis();
		this.sequence = 0;
		this.fence = 0;
		this.leaseEndMillis = 0;
		this.endCount = 0;
		this.running.clear();
		this.closedRuns.clear();
		this.ended.clear();
		this.server = Http.listen(this.ip, this.port, this::handle);
		beat();
	}

	/** Crashes: what runs here is gone, and the port is closed. */
	synchronized void crash() {
		if (this.server == null) {
			return;
		}
		Record.line("worker " + this.id + " (" + this.zone + ") crashes with " + this.running.size() + " runs");
		this.server.stop(0);
		this.server = null;
		List.copyOf(this.running.values()).forEach((run) -> {
			run.end = "lost";
			run.endMillis = Record.nowMillis();
			this.site.ended(run);
		});
		this.running.clear();
		this.ended.clear();
		notifyAll();
	}

	/** Cuts the worker off from all hosts, or ends the cut: calls and their answers are lost, tasks run on. */
	synchronized void setCut(boolean nowCut) {
		Record.line("worker " + this.id + " (" + this.zone + ") " + (nowCut ? "is cut off" : "is reachable again"));
		this.cut = nowCut;
		notifyAll();
	}

	// Returns whether a call or its answer is lost, after the end of the cut.
	private synchronized boolean isLost() throws InterruptedException {
		boolean lost = this.cut;
		while (this.cut) {
			wait();
		}
		return lost;
	}

	synchronized void beat() {
		if (this.server == null) {
			return;
		}
		this.lastBeatMillis = Record.nowMillis();
		this.listed = true;
		this.site.store()
			.put("keyed.servers", this.id,
					"{\"service\":\"" + Site.SERVICE + "\",\"address\":\"" + this.ip + ":" + this.port + "\",\"zone\":\""
							+ this.zone + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,"
							+ "\"capacity\":{\"cpu\":" + this.cpu + ",\"mem_mb\":131072,\"gpu\":0},\"labels\":[\""
							+ String.join("\",\"", this.labels) + "\"],\"clock_ms\":" + clockMillis() + ",\"born\":"
							+ this.bornEpochMillis + ",\"sequence\":" + ++this.sequence + "}");
	}

	/** Removes the entry after a time of silence, as the platform does. */
	synchronized void removeIfSilent(long silenceMillis) {
		if (this.listed && Record.nowMillis() - this.lastBeatMillis > silenceMillis) {
			this.listed = false;
			Record.line("the entry of " + this.id + " is removed from the store");
			this.site.store().put("keyed.servers", this.id, "");
		}
	}

	private long clockMillis() {
		return 100_000 + Record.nowMillis() - this.bornMillis;
	}

	private void handle(Http.Call call) throws InterruptedException {
		if (isLost()) {
			call.exchange().close();
			return;
		}
		this.lastCallMillis = Record.nowMillis();
		String expected = call.exchange().getRequestHeaders().getFirst("X-Expected-Instance");
		if (expected != null && !expected.equals(this.id)) {
			call.answer(421, "{}");
			return;
		}
		switch (call.path()) {
			case "/run-start" -> answer(call, start(call.json()));
			case "/run-stop" -> answer(call, stop(call.json()));
			case "/hold" -> hold(call);
			case "/pace", "/health" -> answer(call, "");
			default -> call.answer(404, "{}");
		}
	}

	private void answer(Http.Call call, String refusal) {
		call.answer(refusal.isEmpty() ? 200 : 409,
				"{\"clock_ms\":" + clockMillis() + ",\"born\":" + this.bornEpochMillis
						+ (refusal.isEmpty() ? "" : ",\"reason\":\"" + refusal + "\"") + "}");
	}

	private boolean isFenced(Map<String, Object> command) {
		long token = Json.number(command, "fencing_token", 0);
		boolean fenced = token < this.fence;
		this.fence = Math.max(this.fence, token);
		return fenced;
	}

	private void extendLease(Map<String, Object> command) {
		long grantedMillis = Math.min(Json.number(command, "until_ms", 0) - clockMillis(), HOLD_MAX_MILLIS);
		this.leaseEndMillis = Math.max(this.leaseEndMillis, Record.nowMillis() + grantedMillis);
		this.leaseRuns = this.leaseEndMillis > Record.nowMillis();
	}

	private synchronized String start(Map<String, Object> command) {
		tick();
		if (isFenced(command)) {
			return "fence";
		}
		String task = Json.text(command, "task", "");
		int number = (int) Json.number(command, "run", 0);
		Run present = this.running.get(task);
		if (present != null && present.number == number) {
			extendLease(command);
			return "";
		}
		if (present != null || this.closedRuns.getOrDefault(task, 0) >= number) {
			extendLease(command);
			return "old";
		}
		if (Json.number(command, "until_ms", 0) <= clockMillis()) {
			return "late";
		}
		extendLease(command);
		long used = this.running.values().stream().mapToLong((run) -> this.site.cpu(run.jobId)).sum();
		String jobId = task.substring(0, task.indexOf('.'));
		if (used + this.site.cpu(jobId) > this.cpu) {
			return "room";
		}
		Run run = new Run(task, number, this.site.kind(jobId, Integer.parseInt(task.split("\\.")[2])), this, Json.text(command, "checkpoint", ""));
		this.running.put(task, run);
		this.site.started(run);
		return "";
	}

	private synchronized String stop(Map<String, Object> command) {
		tick();
		if (isFenced(command)) {
			return "fence";
		}
		String task = Json.text(command, "task", "");
		int number = (int) Json.number(command, "run", 0);
		Run run = this.running.get(task);
		if (run != null && run.number == number) {
			if (run.stopAtMillis == Long.MAX_VALUE) {
				this.site.stopOrdered(run);
			}
			run.stopAtMillis = Math.min(run.stopAtMillis, Record.nowMillis() + STOP_MILLIS);
		}
		else if (run == null) {
			this.closedRuns.merge(task, number, Math::max);
		}
		return "";
	}

	private void hold(Http.Call call) throws InterruptedException {
		Map<String, Object> command = call.json();
		String lists;
		synchronized (this) {
			HttpServer life = this.server;
			tick();
			if (isFenced(command)) {
				answer(call, "fence");
				return;
			}
			long acknowledged = Json.number(command, "ack_cursor", 0);
			this.ended.stream()
				.filter((end) -> end.number <= acknowledged && end.lapseCount == this.lapseCount)
				.forEach((end) -> end.run.noted = true);
			this.ended.removeIf((end) -> end.number <= acknowledged);
			if (command.containsKey("until_ms")) {
				extendLease(command);
			}
			long untilMillis = Record.nowMillis() + Json.number(command, "wait_ms", 0);
			while (this.ended.isEmpty() && Record.nowMillis() < untilMillis && this.server == life) {
				wait(Math.max(1, untilMillis - Record.nowMillis()));
			}
			if (this.server != life || life == null) {
				call.exchange().close();
				return;
			}
			lists = lists();
		}
		if (isLost()) {
			call.exchange().close();
			return;
		}
		call.answer(200, lists);
	}

	private String lists() {
		List<String> rows = new ArrayList<>();
		this.running.values()
			.forEach((run) -> rows.add("[\"" + run.task + "\"," + run.number + ",\""
					+ run.saved(false, this.site.checkpointMillis()) + "\"," + run.percent() + ",1]"));
		List<String> ends = new ArrayList<>();
		this.ended.stream()
			.limit(MAX_LISTED_ENDS)
			.forEach((end) -> ends.add("[" + end.number + ",\"" + end.run.task + "\"," + end.run.number + ",\""
					+ end.run.end + "\",\"" + end.saved + "\"]"));
		return "{\"clock_ms\":" + clockMillis() + ",\"born\":" + this.bornEpochMillis + ",\"running\":["
				+ String.join(",", rows) + "],\"ended\":[" + String.join(",", ends) + "]}";
	}

	/** Ends what has ended by now. */
	synchronized void tick() {
		if (this.server == null) {
			return;
		}
		long nowMillis = Record.nowMillis();
		for (Run run : List.copyOf(this.running.values())) {
			if (nowMillis >= this.leaseEndMillis) {
				end(run, "lapsed", false);
			}
			else if (nowMillis >= run.stopAtMillis) {
				end(run, "stopped", true);
			}
			else if (run.isDone()) {
				end(run, "done", false);
			}
		}
		if (this.leaseRuns && nowMillis >= this.leaseEndMillis) {
			this.leaseRuns = false;
			this.lapseCount++;
		}
	}

	synchronized void end(Run run, String how, boolean atStop) {
		if (this.running.remove(run.task, run)) {
			run.end = how;
			run.endMillis = Record.nowMillis();
			this.closedRuns.merge(run.task, run.number, Math::max);
			String saved = how.equals("done") ? "" : run.saved(atStop, this.site.checkpointMillis());
			this.ended.add(new Ended(++this.endCount, run, saved, this.lapseCount));
			this.site.ended(run);
			notifyAll();
		}
	}

	private record Ended(int number, Run run, String saved, int lapseCount) {
	}

}
