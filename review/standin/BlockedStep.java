import java.util.ArrayList;
import java.util.List;

/** The workers of one kind, 2 of 15, are lost for good while jobs have a step that needs them and one that doesn't. */
final class BlockedStep {

	public static void main(String[] arguments) {
		Scenario.run(arguments[0], BlockedStep::play);
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
		List<Job> accepted = new ArrayList<>();
		for (int number = 0; number < 8; number++) {
			Job job = new Job(Site.hex(16), "/q1/");
			job.step(1, 2_000, 3_000, "b", 0, false);
			job.step(2, 2_000, 3_000, "", 0, false);
			job.step(2, 2_000, 300, "", 0, false, 1);
			if (site.submit(job, site.hosts)) {
				accepted.add(job);
			}
		}
		Site.sleep(1_000);
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
		if (accepted.size() >= 3) {
			Site.sleep(14_000);
			Rules rules = new Rules(site);
			rules.lost(accepted, site.hosts.get(0));
			return rules;
		}
		return null;
	}

}
