import java.util.ArrayList;
import java.util.List;

/** The workers of one zone, 2 of 15, crash and are lost for good; then clients hand in jobs that must be kept. */
final class ZoneWithoutWorkers {

	public static void main(String[] arguments) {
		Scenario.run(arguments[0], ZoneWithoutWorkers::play);
	}

	private static Rules play(Site site, boolean trouble) throws Exception {
		site.config(7);
		List<Worker> lastZone = new ArrayList<>();
		for (int number = 0; number < 15; number++) {
			String zone = (number < 7) ? "zone-a" : (number < 13) ? "zone-b" : "zone-c";
			Worker worker = site.addWorker(zone, "a", 16_000);
			if (zone.equals("zone-c")) {
				lastZone.add(worker);
			}
		}
		site.startHosts(3);
		Site.sleep(8_000);
		if (trouble) {
			for (Worker worker : lastZone) {
				worker.crash();
			}
		}
		// Their entries go after three heartbeats of silence.
		Site.sleep(4_500);
		if (trouble) {
			lastZone.forEach((worker) -> site.store.put("keyed.servers", worker.id, ""));
		}
		Site.sleep(3_500);
		List<Job> accepted = new ArrayList<>();
		for (int number = 0; number < 24; number++) {
			Job job = new Job(Site.hex(16), "/q1/").step(2, 2_000, 300, "", 0, false);
			if (site.submit(job, site.hosts.subList(0, 2))) {
				accepted.add(job);
			}
			Site.sleep(200);
		}
		if (accepted.size() >= 12) {
			Site.sleep(14_000);
			Rules rules = new Rules(site);
			rules.lost(accepted, site.hosts.get(0));
			return rules;
		}
		return null;
	}

}
