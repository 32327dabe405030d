import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A search for faults, no case: durable jobs of several forms under random disruptions, with all checks at the end.
 * Arguments: folder, seconds, kinds of disruption joined by commas, jobs a second, seed, hosts.
 */
final class Search {

	private static final int WORKER_COUNT = 12;

	private final Site site;

	private final Random random;

	private final List<Job> accepted = Collections.synchronizedList(new ArrayList<>());

	private Search(Site site, Random random) {
		this.site = site;
		this.random = random;
	}

	public static void main(String[] arguments) {
		Random random = new Random(Long.parseLong(arguments[4]));
		Scenario.run(arguments[0], (site, trouble) -> new Search(site, random).play(
				Integer.parseInt(arguments[1]) * 1_000L, arguments[2].split(","), Integer.parseInt(arguments[3]),
				Integer.parseInt(arguments[5])));
	}

	private Rules play(long lengthMillis, String[] kinds, int jobsPerSecond, int hostCount) throws Exception {
		this.site.config(7);
		for (int number = 0; number < WORKER_COUNT; number++) {
			this.site.addWorker(Site.ZONES.get(number % 3), (number % 4 == 0) ? "b" : "a", 16_000);
		}
		this.site.startHosts(hostCount);
		Site.sleep(6_500);
		long endMillis = Site.now() + lengthMillis;
		Thread load = Site.daemons("load").newThread(() -> submitJobs(endMillis, jobsPerSecond));
		load.start();
		while (Site.now() < endMillis - 3_000) {
			Site.sleep(2_500 + this.random.nextInt(3_000));
			disrupt(kinds[this.random.nextInt(kinds.length)]);
		}
		load.join();
		Site.sleep(14_000);
		Rules rules = new Rules(this.site);
		rules.lost(List.copyOf(this.accepted), this.site.hosts.get(0));
		rules.twice();
		rules.order();
		rules.route();
		rules.budget();
		rules.refused();
		rules.cancelled();
		report(rules);
		return rules;
	}

	// A job that is neither cancelled nor failed, and is shown as running or pending for good, breaks no rule if no turn
	// of a task has come; it is printed all the same.
	private void report(Rules rules) {
		System.out.println("accepted " + this.accepted.size() + " of " + this.site.jobs.size() + ", runs "
				+ this.site.runs.size());
		this.accepted.stream()
			.filter((job) -> job.shown.equals("running") || job.shown.equals("pending"))
			.forEach((job) -> System.out.println("not finished: " + job.id + " " + job.shown));
		rules.broken.forEach(System.out::println);
	}

	private void submitJobs(long endMillis, int jobsPerSecond) {
		ExecutorService clients = Executors.newCachedThreadPool(Site.daemons("client"));
		while (Site.now() < endMillis) {
			Job job = randomJob();
			List<Site.Host> hosts = new ArrayList<>(this.site.hosts);
			Collections.shuffle(hosts, this.random);
			long cancelAfterMillis = (this.random.nextInt(6) == 0) ? this.random.nextInt(900) : -1;
			clients.execute(() -> submit(job, hosts, cancelAfterMillis));
			Site.sleep(1_000 / jobsPerSecond);
		}
	}

	private Job randomJob() {
		Job job = new Job(Site.hex(16), "/q" + this.random.nextInt(3) + "/");
		job.step(1 + this.random.nextInt(4), 1_000, randomRunMillis(), "", 0, false);
		int form = this.random.nextInt(4);
		if (form == 1) {
			job.step(1 + this.random.nextInt(4), 1_000, randomRunMillis(), "", 0, false, 0);
		}
		else if (form == 2) {
			job.step(1, 1_000, randomRunMillis(), "b", 0, false, 0).step(2, 1_000, 100, "", 1, false, 0, 1);
		}
		else if (form == 3) {
			job.step(3, 1_000, randomRunMillis(), "", 0, true, 0);
		}
		if (form != 3 && this.random.nextInt(5) == 0) {
			job.failAfterMillis = () -> (Site.random().nextInt(10) < 4) ? 20 : Long.MAX_VALUE / 2;
		}
		if (this.random.nextInt(8) == 0) {
			job.repetitions = 4;
			job.firstMillis = System.currentTimeMillis() + 1_000;
			job.intervalMillis = 700;
		}
		return job;
	}

	private long randomRunMillis() {
		return 30 + this.random.nextInt(400);
	}

	private void submit(Job job, List<Site.Host> hosts, long cancelAfterMillis) {
		if (!this.site.submit(job, hosts)) {
			return;
		}
		this.accepted.add(job);
		if (cancelAfterMillis >= 0) {
			Site.sleep(cancelAfterMillis);
			for (int attempt = 0; attempt < 8 && job.cancelAckMillis < 0; attempt++) {
				this.site.cancel(job, hosts.get(attempt % hosts.size()));
				Site.sleep(400);
			}
		}
	}

	private void disrupt(String kind) throws Exception {
		Site.Host owner = this.site.owner();
		Worker worker = this.site.workers.get(this.random.nextInt(WORKER_COUNT));
		switch (kind) {
			case "kill" -> {
				owner.kill();
				Site.sleep(300 + this.random.nextInt(1_500));
				restart(List.of(owner));
			}
			case "kill-two" -> {
				owner.kill();
				Site.sleep(this.random.nextInt(1_200));
				Site.Host next = this.site.owner(owner);
				next.kill();
				Site.sleep(800);
				restart(List.of(owner, next));
			}
			case "kill-all" -> {
				this.site.hosts.forEach(Site.Host::kill);
				Site.sleep(300 + this.random.nextInt(1_000));
				restart(this.site.hosts);
			}
			case "term" -> roll(List.of(owner));
			case "roll" -> roll(this.site.hosts);
			case "stop" -> {
				owner.signal("STOP");
				Site.sleep(400 + this.random.nextInt(3_000));
				owner.signal("CONT");
			}
			case "crash" -> {
				worker.crash();
				Site.sleep(1_000 + this.random.nextInt(3_000));
				worker.start(this.random.nextBoolean());
			}
			case "mute" -> {
				worker.mute = true;
				Site.sleep(2_000 + this.random.nextInt(3_500));
				worker.mute = false;
			}
			case "slow" -> {
				this.site.store.answerMillis = 240;
				Site.sleep(3_500);
				this.site.store.answerMillis = 4;
			}
			case "lost" -> {
				this.site.store.lostShare = 0.35;
				Site.sleep(4_500);
				this.site.store.lostShare = 0;
			}
			default -> throw new IllegalArgumentException(Arrays.toString(new String[] { kind }));
		}
	}

	private static void restart(List<Site.Host> hosts) throws Exception {
		for (Site.Host host : hosts) {
			host.start(false);
		}
		hosts.forEach((host) -> host.awaitReady(9_000));
	}

	private static void roll(List<Site.Host> hosts) throws Exception {
		for (Site.Host host : hosts) {
			host.terminate();
			while (host.isAlive()) {
				Site.sleep(20);
			}
			Site.sleep(500);
			restart(List.of(host));
		}
	}

}
