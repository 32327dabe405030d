package review3;

import java.util.List;

/**
 * The host that owns the workers is killed right after it has accepted the first job that
 * must be kept.
 */
final class FirstJobCase implements ReviewCase {

	private static final String JOB_ID = "7b1f00c2a94e5d36";

	private static final int CPU_MILLICORES = 2_000;

	private static final String JOB = "{\"task_spec\":\"150\",\"steps\":[{\"count\":24,\"cpu\":2000,\"mem_mb\":64,"
			+ "\"estimated_ms\":150}]}";

	private static final int CLIENT_TIMEOUT_MILLIS = 4_000;

	/** How long a killed machine is away in the site's days. */
	private static final long DOWN_MILLIS = 2_000;

	private static final long WATCH_MILLIS = 4_000;

	/** A new site for each try, as only the first job of a site counts. */
	private static final int MAX_SITES = 4;

	private static final int WARM_UP_JOBS = 300;

	private static final String WARM_UP_JOB = "{\"best_effort\":true,\"task_spec\":\"5\",\"steps\":[{\"count\":4,"
			+ "\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":5}]}";

	@Override
	public Verdict run(Record record, boolean trouble) throws Exception {
		Verdict verdict = Verdict.HELD;
		for (int number = 1; number <= MAX_SITES && verdict == Verdict.HELD; number++) {
			record.line("site " + number);
			verdict = runSite(record, trouble);
		}
		return verdict;
	}

	private static Verdict runSite(Record record, boolean trouble) throws Exception {
		try (Site site = new Site(record, 2, 4, 2, true)) {
			Host owner = site.awaitSingleOwner();
			if (owner == null) {
				return Verdict.COULD_NOT_RUN;
			}
			warmUp(owner);
			record.line(owner.name + " has served " + WARM_UP_JOBS + " jobs that need not be kept");
			HttpResponse answer = site.submit(owner, JOB_ID, CPU_MILLICORES, JOB, CLIENT_TIMEOUT_MILLIS);
			if (!answer.isAccepted()) {
				return Verdict.COULD_NOT_RUN;
			}
			if (trouble) {
				owner.kill();
				record.line("SIGKILL to " + owner.name + ", which has just accepted the job");
			}
			Clock.sleep(DOWN_MILLIS);
			if (trouble) {
				owner.start(false);
				record.line(owner.name + " is started again");
			}
			Clock.sleep(WATCH_MILLIS);
			Host other = site.hosts.stream().filter((host) -> host != owner).findFirst().orElseThrow();
			site.send(other, "GET", JOB_ID, "", CLIENT_TIMEOUT_MILLIS);
			List<String> twice = site.ledger.startedTwice();
			twice.forEach((found) -> record.line("TWICE: " + found));
			return twice.isEmpty() ? Verdict.HELD : Verdict.BROKEN;
		}
	}

	// Clients of jobs that need not be kept have used the site before.
	private static void warmUp(Host owner) {
		for (int number = 0; number < WARM_UP_JOBS; number++) {
			String jobId = String.format(Ledger.UNRECORDED_PREFIX + "0e7a21d94b%04x", number);
			owner.send("POST", Site.PREFIX + jobId, WARM_UP_JOB, CLIENT_TIMEOUT_MILLIS);
		}
	}

}
