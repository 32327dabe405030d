import java.util.ArrayList;
import java.util.List;

/** The workers of one kind, 2 of 15, are lost for good under 60 small jobs that need them; other jobs follow. */
final class BlockedQueue {

	public static void main(String[] arguments) {
		Scenario.run(arguments[0], BlockedQueue::play);
	}

	private static Rules play(Site site, boolean trouble) throws Exception {
		site.config(7);
		List<Worker> kindB = new ArrayList<>();
		for (int number = 0; number < 15; number++) {
			String kind = (number < 2) ? "b" : "a";
			Worker worker = site.addWorker(Site.ZONES.get(number % 3), kind, 16_000);
			if (kind.equals("b")) {
				kindB.add(worker);
			}
		}
		site.startHosts(3);
		Site.sleep(8_000);
		for (int number = 0; number < 60; number++) {
			site.submit(new Job(Site.hex(16), "/q1/").step(1, 100, 4_000, "b", 1, false), site.hosts);
		}
		Site.sleep(500);
		if (trouble) {
			for (Worker worker : kindB) {
				worker.crash();
			}
		}
		// Their entries go after three heartbeats of silence.
		Site.sleep(4_500);
		if (trouble) {
			kindB.forEach((worker) -> site.store.put("keyed.servers", worker.id, ""));
		}
		Site.sleep(3_500);
		List<Job> accepted = new ArrayList<>();
		for (int number = 0; number < 20; number++) {
			Job job = new Job(Site.hex(16), "/q1/").step(2, 1_000, 300, "", 0, false);
			job.repetitions = 1;
			job.firstMillis = System.currentTimeMillis() + 1_000;
			if (site.submit(job, site.hosts)) {
				accepted.add(job);
			}
			Site.sleep(200);
		}
		if (accepted.size() >= 1) {
			Site.sleep(14_000);
			Rules rules = new Rules(site);
			rules.lost(accepted, site.hosts.get(0));
			return rules;
		}
		return null;
	}

}
