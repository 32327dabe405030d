import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Clients that hand in stored jobs of two steps, and the check of LOST for them: for 3 s, a
 * job has nothing running while a task's turn has come, there is capacity for it twice
 * over, and under half of the capacity is in use.
 */
final class StepJobs {

	private static final int FIRST_STEP_TASKS = 6;

	private static final int SECOND_STEP_TASKS = 2;

	private static final long CPU = 1_000;

	static final long WORKER_CPU = 8_000;

	static final int JOB_INTERVAL_MILLIS = 40;

	private static final int IDLE_MILLIS = 3_000;

	private static final String STEPS = "{\"count\":" + FIRST_STEP_TASKS
			+ ",\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":60},{\"count\":" + SECOND_STEP_TASKS
			+ ",\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":60,\"after\":[0]}";

	private StepJobs() {
	}

	/** Hands jobs in for some time; three of eight have tasks of 900 ms, the others of 60 ms. */
	static void traffic(Site site, ExecutorService clients, int intervalMillis, int millis) {
		Random random = new Random();
		long untilMillis = Record.nowMillis() + millis;
		while (Record.nowMillis() < untilMillis) {
			String id = site.newJobId();
			long workMillis = (random.nextInt(8) < 3) ? 900 : 60;
			List<Host> hosts = site.running();
			clients.execute(() -> site.submit(id, TaskKind.plain(workMillis), CPU, STEPS, false, hosts));
			Record.sleep(intervalMillis);
		}
	}

	/**
	 * Checks the rule for the accepted jobs.
	 * @param site the site
	 * @param judged the jobs that the check is for
	 * @param asked the host that is asked for their state
	 * @return 1 if the rule is broken, else 0
	 */
	static int judge(Site site, Predicate<Site.JobState> judged, Host asked) {
		List<Site.JobState> accepted = site.jobs()
			.values()
			.stream()
			.filter((job) -> job.acceptedMillis >= 0)
			.filter(judged)
			.toList();
		long fromMillis = Record.nowMillis();
		long capacity = WORKER_CPU * site.workers().stream().filter(Worker::isUp).count();
		long mostUsed = 0;
		while (Record.nowMillis() < fromMillis + IDLE_MILLIS) {
			mostUsed = Math.max(mostUsed, CPU * site.runs().stream().filter((run) -> run.end.isEmpty()).count());
			Record.sleep(50);
		}
		Map<String, Integer> states = new TreeMap<>();
		accepted.forEach((job) -> states.merge(site.ask(job, asked), 1, Integer::sum));
		Map<String, List<Run>> byJob = site.runs().stream().collect(Collectors.groupingBy((run) -> run.jobId));
		List<Site.JobState> lost = accepted.stream()
			.filter((job) -> !job.lastAnswer.equals("completed") && !job.lastAnswer.equals("failed"))
			.filter((job) -> hasTaskToStart(byJob.getOrDefault(job.id, List.of()), fromMillis))
			.toList();
		Record.line("accepted jobs: " + accepted.size() + ", last answers " + states + ", jobs not accepted: "
				+ site.jobs().values().stream().filter((job) -> job.acceptedMillis < 0).count());
		Record.line("capacity " + capacity + ", used at most " + mostUsed + " in " + IDLE_MILLIS + " ms");
		site.workers()
			.stream()
			.filter(Worker::isUp)
			.forEach((worker) -> Record.line(worker.id() + " (" + worker.zone() + ") lists " + worker.endedCount()
					+ " ends, last called " + worker.sinceLastCallMillis() + " ms ago"));
		lost.stream()
			.limit(20)
			.forEach((job) -> Record.line("LOST: " + job.id + " accepted at " + job.acceptedMillis + ", state " + job.lastAnswer
					+ ", tasks done: " + done(byJob.getOrDefault(job.id, List.of()), "")));
		Record.line("jobs with a task whose turn has come and nothing running: " + lost.size());
		return (2 * mostUsed < capacity && !lost.isEmpty()) ? 1 : 0;
	}

	private static long done(List<Run> runs, String stepSuffix) {
		return runs.stream()
			.filter((run) -> run.end.equals("done") && run.step().endsWith(stepSuffix))
			.map((run) -> run.task)
			.distinct()
			.count();
	}

	// Returns whether a job had nothing running since a time, though a task's turn had come.
	private static boolean hasTaskToStart(List<Run> runs, long fromMillis) {
		if (runs.stream().anyMatch((run) -> run.endMillis < 0 || run.endMillis >= fromMillis)) {
			return false;
		}
		return done(runs, ".0.0") < FIRST_STEP_TASKS || done(runs, ".0.1") < SECOND_STEP_TASKS;
	}

}
