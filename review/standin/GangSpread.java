import java.util.ArrayList;
import java.util.List;

/** Two of 15 workers crash under gangs of four members, of which no two may share a worker. */
final class GangSpread {

	public static void main(String[] arguments) {
		Scenario.run(arguments[0], GangSpread::play);
	}

	private static Rules play(Site site, boolean trouble) throws Exception {
		site.config(7);
		List<Worker> small = new ArrayList<>();
		for (int number = 0; number < 15; number++) {
			boolean isSmall = number < 4;
			String kind = (number <= 4) ? "b" : "a";
			Worker worker = site.addWorker(Site.ZONES.get(number % 3), kind, isSmall ? 4_000 : 16_000);
			if (isSmall) {
				small.add(worker);
			}
		}
		site.startHosts(3);
		Site.sleep(8_000);
		Job job = new Job(Site.hex(16), "/q1/").step(4, 4_000, 6_000, "b", 1, true);
		if (site.submit(job, site.hosts)) {
			Site.sleep(2_000);
			if (trouble) {
				small.get(0).crash();
				small.get(1).crash();
				Site.sleep(4_500);
				small.get(0).start(true);
				small.get(1).start(true);
			}
			Site.sleep(16_000);
			Rules rules = new Rules(site);
			rules.route();
			return rules;
		}
		return null;
	}

}
