package review3;

import java.util.List;

/**
 * A client cancels a job that need not be kept, while it runs.
 */
final class CancelWaitingCase implements ReviewCase {

	private static final String JOB_ID = "c41d9a6b20e87f35";

	private static final int CPU_MILLICORES = 1_000;

	private static final int CLIENT_TIMEOUT_MILLIS = 20_000;

	private static final String JOB = "{\"best_effort\":true,\"task_spec\":\"5000;1000\",\"steps\":[{\"count\":2,"
			+ "\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":5000},{\"count\":2,\"cpu\":1000,\"mem_mb\":64,"
			+ "\"estimated_ms\":1000,\"after\":[0]}]}";

	/** The bound {@code cancel_ms}. */
	private static final long CANCEL_MILLIS = 3_000;

	private static final long WATCH_MILLIS = 9_000;

	@Override
	public Verdict run(Record record, boolean trouble) throws Exception {
		try (Site site = new Site(record, 2, 4, 2, true)) {
			if (site.awaitSingleOwner() == null) {
				return Verdict.COULD_NOT_RUN;
			}
			Host host = site.hosts.get(0);
			Thread client = new Thread(
					() -> site.submit(host, JOB_ID, CPU_MILLICORES, JOB, CLIENT_TIMEOUT_MILLIS));
			client.setDaemon(true);
			client.start();
			Clock.sleep(1_000);
			boolean acknowledged = false;
			if (trouble) {
				HttpResponse cancelled = site.send(host, "DELETE", JOB_ID, "", CLIENT_TIMEOUT_MILLIS);
				acknowledged = cancelled.isAccepted() || cancelled.status() == 410;
			}
			long fromMillis = Clock.nowMillis() + CANCEL_MILLIS;
			Clock.sleep(WATCH_MILLIS);
			List<Run> late = site.ledger.find((run) -> run.startMillis > fromMillis);
			late.forEach((run) -> record.line("UNASKED: " + run + " starts over " + CANCEL_MILLIS
					+ " ms after the cancelling was acknowledged"));
			return (acknowledged && !late.isEmpty()) ? Verdict.BROKEN : Verdict.HELD;
		}
	}

}
