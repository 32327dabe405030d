package review3;

import java.util.List;

/**
 * A client cancels a job whose submission was not answered, because the store is down.
 */
final class CancelUnstoredCase implements ReviewCase {

	private static final String JOB_ID = "3d90b77e1c52fa68";

	private static final int CPU_MILLICORES = 1_000;

	private static final int CLIENT_TIMEOUT_MILLIS = 1_500;

	/** Less than the length of an outage of the whole store in the site's days, 4.2 s. */
	private static final long OUTAGE_MILLIS = 4_100;

	/** The delay that hosts advise with 503. */
	private static final long RETRY_MILLIS = 1_000;

	private static final int MAX_CANCEL_ATTEMPTS = 6;

	private static final long FIRST_MILLIS = 10_000;

	private static final long INTERVAL_MILLIS = 3_000;

	private static final int REPETITIONS = 4;

	/** The bound {@code cancel_ms}. */
	private static final long CANCEL_MILLIS = 3_000;

	/** The bound {@code contact_ms}. */
	private static final long CONTACT_MILLIS = 3_000;

	@Override
	public Verdict run(Record record, boolean trouble) throws Exception {
		try (Site site = new Site(record, 2, 4, 2, true)) {
			if (site.awaitSingleOwner() == null) {
				return Verdict.COULD_NOT_RUN;
			}
			long beginMillis = Clock.nowMillis();
			if (trouble) {
				site.store.setDown(true);
			}
			String job = "{\"task_spec\":\"200\",\"repetitions\":" + REPETITIONS + ",\"first_ms\":"
					+ (System.currentTimeMillis() + FIRST_MILLIS) + ",\"interval_ms\":" + INTERVAL_MILLIS
					+ ",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":200}]}";
			Host host = site.hosts.get(0);
			site.submit(host, JOB_ID, CPU_MILLICORES, job, CLIENT_TIMEOUT_MILLIS);
			boolean acknowledged = cancel(site, host);
			long cancelledMillis = Clock.nowMillis();
			Clock.sleep(beginMillis + OUTAGE_MILLIS - Clock.nowMillis());
			if (trouble) {
				site.store.setDown(false);
			}
			long steadyMillis = Clock.nowMillis() + CONTACT_MILLIS;
			Clock.sleep(FIRST_MILLIS + REPETITIONS * INTERVAL_MILLIS);
			site.send(host, "GET", JOB_ID, "", CLIENT_TIMEOUT_MILLIS);
			long fromMillis = Math.max(steadyMillis, cancelledMillis + CANCEL_MILLIS);
			List<Run> late = site.ledger.find((run) -> run.startMillis > fromMillis);
			late.forEach((run) -> record.line("UNASKED: " + run + " starts "
					+ (run.startMillis - cancelledMillis) + " ms after the cancelling was acknowledged"));
			return (acknowledged && !late.isEmpty()) ? Verdict.BROKEN : Verdict.HELD;
		}
	}

	// The client comes back after 503, as the answer asks.
	private static boolean cancel(Site site, Host host) {
		for (int attempt = 0; attempt < MAX_CANCEL_ATTEMPTS; attempt++) {
			HttpResponse answer = site.send(host, "DELETE", JOB_ID, "", CLIENT_TIMEOUT_MILLIS);
			if (answer.isAccepted() || answer.status() == 410) {
				return true;
			}
			Clock.sleep(RETRY_MILLIS);
		}
		return false;
	}

}
