package review3;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A failure domain is lost for good while accepted jobs run. The others have room for
 * them, so that all jobs have to be completed.
 */
final class ZoneLossCase implements ReviewCase {

	private static final int JOBS = 12;

	private static final int STEPS = 2;

	private static final int TASKS_PER_STEP = 4;

	private static final int CPU_MILLICORES = 3_000;

	private static final String JOB = "{\"task_spec\":\"3000;2000\",\"steps\":[{\"count\":4,\"cpu\":3000,\"mem_mb\":64,"
			+ "\"estimated_ms\":3000},{\"count\":4,\"cpu\":3000,\"mem_mb\":64,\"estimated_ms\":2000,\"after\":[0]}]}";

	private static final int CLIENT_TIMEOUT_MILLIS = 20_000;

	/** The bound {@code finish_s}. */
	private static final long FINISH_MILLIS = 14_000;

	/** So long that the entries of the lost workers have expired meanwhile. */
	private static final long TRAFFIC_MILLIS = 25_000;

	private static final int TRAFFIC_CLIENTS = 8;

	private static final int TRAFFIC_TASKS = 8;

	private static final int TRAFFIC_TASK_MILLIS = 20;

	/** A sound worker without a start for this time gets no tasks any more. */
	private static final long UNUSED_MILLIS = 5_000;

	/** The rule's span in which nothing of a job runs. */
	private static final long IDLE_MILLIS = 3_000;

	@Override
	public Verdict run(Record record, boolean trouble) throws Exception {
		try (Site site = new Site(record, 2, 4, 2, true)) {
			Host owner = site.awaitSingleOwner();
			if (owner == null) {
				return Verdict.COULD_NOT_RUN;
			}
			List<Host> others = site.hosts.stream().filter((host) -> !host.zone.equals(owner.zone)).toList();
			List<String> accepted = new ArrayList<>();
			for (int number = 0; number < JOBS; number++) {
				String jobId = String.format("5c0e7a21d94b%04x", number);
				Host host = others.get(number % others.size());
				if (site.submit(host, jobId, CPU_MILLICORES, JOB, CLIENT_TIMEOUT_MILLIS).isAccepted()) {
					accepted.add(jobId);
				}
			}
			Clock.sleep(500);
			if (trouble) {
				loseZone(site, owner.zone);
			}
			Traffic traffic = new Traffic(others, TRAFFIC_CLIENTS, TRAFFIC_TASKS, TRAFFIC_TASK_MILLIS);
			Clock.sleep(TRAFFIC_MILLIS);
			traffic.stop();
			recordIdleWorkers(site, traffic);
			Clock.sleep(FINISH_MILLIS);
			return judge(site, others, accepted);
		}
	}

	private static void loseZone(Site site, String zone) {
		site.record.line("the failure domain " + zone + " loses its power for good: hosts and workers");
		site.hosts.stream().filter((host) -> host.zone.equals(zone)).forEach(Host::kill);
		site.workers.stream().filter((worker) -> worker.zone.equals(zone)).forEach(Worker::loseForGood);
	}

	// Not judged: how many of the sound workers are used no more, though there is traffic.
	private static void recordIdleWorkers(Site site, Traffic traffic) {
		long sinceMillis = Clock.nowMillis() - UNUSED_MILLIS;
		List<Worker> sound = site.workers.stream().filter((worker) -> !worker.isDark()).toList();
		List<String> unused = sound.stream()
			.map((worker) -> worker.id)
			.filter((id) -> site.ledger.find((run) -> run.worker.equals(id) && run.startMillis > sinceMillis).isEmpty())
			.toList();
		site.record.line(traffic + "; of " + sound.size() + " sound workers these have had no start for "
				+ UNUSED_MILLIS + " ms: " + unused);
		unused.forEach((id) -> {
			List<Run> ended = site.ledger.find((run) -> run.worker.equals(id) && run.endMillis >= 0);
			site.record.line(id + ": " + ended.size() + " runs ended, "
					+ ended.stream().filter((run) -> run.notedMillis >= 0).count() + " of these ends were taken note of");
		});
	}

	private static Verdict judge(Site site, List<Host> others, List<String> accepted) {
		long sinceMillis = Clock.nowMillis() - IDLE_MILLIS;
		double usedShare = site.usedShare();
		site.record.line("owners by the store: " + site.store.owners() + "; share of the sound workers' processor in use: "
				+ usedShare);
		int lost = 0;
		for (String jobId : accepted) {
			Set<String> done = new HashSet<>();
			site.ledger.find((run) -> run.jobId().equals(jobId) && run.isDone()).forEach((run) -> done.add(run.task));
			boolean idle = site.ledger.find((run) -> run.jobId().equals(jobId))
				.stream()
				.allMatch((run) -> run.endMillis >= 0 && run.endMillis < sinceMillis);
			boolean completed = others.stream()
				.map((host) -> site.send(host, "GET", jobId, "", 4_000))
				.anyMatch((response) -> response.text().contains("completed"));
			site.record.line(jobId + ": " + done.size() + " of " + STEPS * TASKS_PER_STEP + " tasks done, "
					+ (idle ? "nothing" : "something") + " runs, " + (completed ? "" : "not ") + "shown as completed");
			if (!completed && idle && done.size() < STEPS * TASKS_PER_STEP && usedShare < 0.5) {
				lost++;
			}
		}
		site.record.line(lost + " of " + accepted.size() + " accepted jobs wait for ever");
		if (accepted.isEmpty()) {
			return Verdict.COULD_NOT_RUN;
		}
		return (lost > 0) ? Verdict.BROKEN : Verdict.HELD;
	}

}
