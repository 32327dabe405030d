import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Clients cancel 6 of 24 best-effort jobs while they run. */
final class BestEffortCancel {

	private static final int JOB_COUNT = 24;

	private static final int CANCELLED_COUNT = 6;

	private static final int WAIT_MILLIS = 14_000;

	public static void main(String[] arguments) {
		Scenario.run(arguments[0], BestEffortCancel::play);
	}

	private static Rules play(Site site, boolean trouble) throws Exception {
		site.config(7);
		for (int number = 0; number < 15; number++) {
			site.addWorker(Site.ZONES.get(number % 3), "a", 16_000);
		}
		site.startHosts(3);
		Site.sleep(8_000);
		ExecutorService clients = Executors.newCachedThreadPool(Site.daemons("client"));
		List<Job> jobs = new ArrayList<>();
		for (int number = 0; number < JOB_COUNT; number++) {
			Job job = new Job(Site.hex(16), "/q1/").step(2, 1_000, 8_000, "", 0, false);
			job.bestEffort = true;
			site.jobs.put(job.id, job);
			jobs.add(job);
			Site.Host host = site.hosts.get(number % site.hosts.size());
			clients.execute(() -> {
				Site.Reply reply = site.request(host, "POST", job.prefix + job.id, job.body(), WAIT_MILLIS);
				site.record("client POST " + job.id + " at " + host.name + " -> " + reply);
			});
		}
		Site.sleep(1_500);
		List<Job> running = jobs.stream().filter(site::isRunning).toList();
		if (running.size() < CANCELLED_COUNT) {
			return null;
		}
		if (trouble) {
			running.subList(0, CANCELLED_COUNT).forEach((job) -> site.cancel(job, site.hosts.get(1)));
		}
		Site.sleep(10_000);
		Rules rules = new Rules(site);
		rules.cancelled();
		return rules;
	}

}
