import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The zone of the owner is lost for good, and the traffic goes on at the hosts and
 * workers that are left. Only jobs of the pools that still have an owner are judged.
 */
final class WorkersStop {

	private static final int TRAFFIC_BEFORE_MILLIS = 8_000;

	private static final int TRAFFIC_AFTER_MILLIS = 45_000;

	/** finish_s of the settings. */
	private static final int FINISH_MILLIS = 14_000;

	private WorkersStop() {
	}

	public static void main(String[] arguments) {
		Scenario.main(arguments, (trouble) -> {
			try (Site site = new Site(2, 4, StepJobs.WORKER_CPU, 2_000)) {
				return run(site, trouble);
			}
		});
	}

	private static int run(Site site, boolean trouble) throws Exception {
		if (!site.start() || site.awaitSingleOwner(40_000).isEmpty()) {
			return 2;
		}
		Record.sleep(4_000);
		String owner = site.awaitSingleOwner(10_000);
		String zone = site.hosts()
			.stream()
			.filter((host) -> host.name().equals(owner))
			.map(Host::zone)
			.findFirst()
			.orElse("");
		if (zone.isEmpty()) {
			return 2;
		}
		List<Host> left = site.hosts().stream().filter((host) -> !trouble || !host.zone().equals(zone)).toList();
		ExecutorService clients = Executors.newCachedThreadPool();
		StepJobs.traffic(site, clients, site.hosts(), TRAFFIC_BEFORE_MILLIS);
		if (trouble) {
			Record.line("the hosts and workers of zone " + zone + " are lost for good");
			site.hosts().stream().filter((host) -> host.zone().equals(zone)).forEach(Host::kill);
			site.workers().stream().filter((worker) -> worker.zone().equals(zone)).forEach(Worker::crash);
		}
		StepJobs.traffic(site, clients, left, TRAFFIC_AFTER_MILLIS);
		Record.line("the traffic ends");
		clients.shutdown();
		Record.sleep(FINISH_MILLIS);
		return StepJobs.judge(site, (job) -> !Site.zoneOf(job.id).equals(zone), left.get(0));
	}

}
