import java.nio.file.Path;

/** What a script plays: a site, with or without its disruption, and the checks at the end. */
@FunctionalInterface
interface Scenario {

	/** The exit status of a case that couldn't run. */
	int NOT_RUN = 2;

	/**
	 * Plays the scenario.
	 * @param site the site, without workers and hosts
	 * @param trouble whether the disruption happens
	 * @return the checks that were made, or null if the case couldn't run
	 */
	Rules play(Site site, boolean trouble) throws Exception;

	/**
	 * Runs a scenario and exits: 1 if a rule was broken, 0 if all held, 2 if it couldn't run.
	 * @param folder where record.txt is written
	 * @param scenario the scenario
	 */
	static void run(String folder, Scenario scenario) {
		int status = NOT_RUN;
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		try (Site site = new Site(Path.of(folder, "record.txt"))) {
			Rules rules = scenario.play(site, trouble);
			status = (rules != null) ? rules.verdict() : NOT_RUN;
		}
		catch (Exception ex) {
			ex.printStackTrace();
			status = NOT_RUN;
		}
		System.exit(status);
	}

}
