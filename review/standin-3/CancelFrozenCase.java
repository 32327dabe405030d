package review3;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Clients cancel jobs on open channels to a host that is frozen. It owned the workers
 * before, and the jobs were accepted since by other hosts.
 */
final class CancelFrozenCase implements ReviewCase {

	private static final int JOBS = 9;

	private static final int CPU_MILLICORES = 1_000;

	private static final int CLIENT_TIMEOUT_MILLIS = 1_500;

	/** At most the length of a freeze in the site's days, 4 s. */
	private static final long FREEZE_MILLIS = 4_000;

	/** When the jobs are submitted, after the begin of the freeze. */
	private static final long SUBMIT_MILLIS = 1_800;

	/** When the jobs are cancelled, after the begin of the freeze. */
	private static final long CANCEL_AFTER_MILLIS = 3_200;

	private static final long FIRST_MILLIS = 9_000;

	private static final long INTERVAL_MILLIS = 3_000;

	private static final int REPETITIONS = 3;

	/** The bound {@code cancel_ms}. */
	private static final long CANCEL_MILLIS = 3_000;

	/** The bound {@code contact_ms}. */
	private static final long CONTACT_MILLIS = 3_000;

	private static final int TRAFFIC_CLIENTS = 20;

	private final Map<String, Long> cancelledMillis = new ConcurrentHashMap<>();

	@Override
	public Verdict run(Record record, boolean trouble) throws Exception {
		try (Site site = new Site(record, 2, 4, 2, true)) {
			Host owner = site.awaitSingleOwner();
			if (owner == null) {
				return Verdict.COULD_NOT_RUN;
			}
			List<HttpConnection> channels = openChannels(owner);
			List<Host> others = site.hosts.stream().filter((host) -> host != owner).toList();
			Traffic traffic = new Traffic(others, TRAFFIC_CLIENTS, 2, 300);
			Clock.sleep(1_500);
			long beginMillis = Clock.nowMillis();
			if (trouble) {
				owner.signal("STOP");
				record.line(owner.name + ", which owns the workers, is frozen");
			}
			Clock.sleep(beginMillis + SUBMIT_MILLIS - Clock.nowMillis());
			List<String> accepted = submit(site, others);
			Clock.sleep(beginMillis + CANCEL_AFTER_MILLIS - Clock.nowMillis());
			List<Thread> clients = cancel(site, owner, channels, accepted);
			Clock.sleep(beginMillis + FREEZE_MILLIS - Clock.nowMillis());
			if (trouble) {
				record.line(owner.name + " wakes");
				owner.signal("CONT");
			}
			long steadyMillis = Clock.nowMillis() + CONTACT_MILLIS;
			for (Thread client : clients) {
				client.join();
			}
			traffic.stop();
			Clock.sleep(FIRST_MILLIS + REPETITIONS * INTERVAL_MILLIS);
			return judge(site, accepted, steadyMillis);
		}
	}

	// The clients have used the host before.
	private static List<HttpConnection> openChannels(Host owner) throws IOException {
		List<HttpConnection> channels = new ArrayList<>();
		for (int number = 0; number < JOBS; number++) {
			HttpConnection channel = owner.open();
			channel.call(Host.head("GET", Site.PREFIX, CLIENT_TIMEOUT_MILLIS), CLIENT_TIMEOUT_MILLIS);
			channels.add(channel);
		}
		return channels;
	}

	private static List<String> submit(Site site, List<Host> others) {
		List<String> accepted = new ArrayList<>();
		String job = "{\"task_spec\":\"200\",\"repetitions\":" + REPETITIONS + ",\"first_ms\":"
				+ (System.currentTimeMillis() + FIRST_MILLIS) + ",\"interval_ms\":" + INTERVAL_MILLIS
				+ ",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":200}]}";
		for (int number = 0; number < JOBS; number++) {
			String jobId = String.format("d27c51e08b9f%04x", number);
			Host host = others.get(number % others.size());
			if (site.submit(host, jobId, CPU_MILLICORES, job, CLIENT_TIMEOUT_MILLIS).isAccepted()) {
				accepted.add(jobId);
			}
		}
		return accepted;
	}

	private List<Thread> cancel(Site site, Host owner, List<HttpConnection> channels, List<String> accepted) {
		List<Thread> clients = new ArrayList<>();
		for (int number = 0; number < accepted.size(); number++) {
			String jobId = accepted.get(number);
			HttpConnection channel = channels.get(number);
			Thread client = new Thread(() -> cancel(site, owner, channel, jobId));
			client.setDaemon(true);
			client.start();
			clients.add(client);
		}
		return clients;
	}

	private void cancel(Site site, Host owner, HttpConnection channel, String jobId) {
		site.record.line("DELETE " + jobId + " is sent to " + owner.name + " on an open channel");
		HttpResponse answer = channel.call(Host.head("DELETE", Site.PREFIX + jobId, CLIENT_TIMEOUT_MILLIS),
				CLIENT_TIMEOUT_MILLIS);
		site.record.line("DELETE " + jobId + ": " + answer.status() + " " + answer.text());
		if (answer.isAccepted() || answer.status() == 410) {
			this.cancelledMillis.put(jobId, Clock.nowMillis());
		}
	}

	private Verdict judge(Site site, List<String> accepted, long steadyMillis) {
		int broken = 0;
		for (String jobId : accepted) {
			long cancelled = this.cancelledMillis.getOrDefault(jobId, Long.MAX_VALUE / 2);
			long fromMillis = Math.max(steadyMillis, cancelled + CANCEL_MILLIS);
			List<Run> late = site.ledger.find((run) -> run.jobId().equals(jobId) && run.startMillis > fromMillis);
			late.forEach((run) -> site.record.line("UNASKED: " + run + " starts " + (run.startMillis - cancelled)
					+ " ms after the cancelling was acknowledged"));
			broken += late.isEmpty() ? 0 : 1;
			site.send(site.hosts.get(0), "GET", jobId, "", CLIENT_TIMEOUT_MILLIS);
		}
		site.record.line(broken + " of " + this.cancelledMillis.size() + " cancelled jobs run on");
		if (accepted.isEmpty()) {
			return Verdict.COULD_NOT_RUN;
		}
		return (broken > 0) ? Verdict.BROKEN : Verdict.HELD;
	}

}
