package review3;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that submit jobs that need not be kept, each one job after the other, until
 * they are told to stop.
 */
final class Traffic {

	/** What the ids of the jobs begin with. */
	static final String ID_PREFIX = "ee";

	/** The bound {@code retransmit_ms}. */
	private static final long RESEND_MILLIS = 1_300;

	private static final int CLIENT_TIMEOUT_MILLIS = 1_500;

	private final AtomicInteger served = new AtomicInteger();

	private final AtomicInteger unserved = new AtomicInteger();

	private volatile boolean stopped;

	/**
	 * Starts the clients.
	 * @param hosts the hosts that they use, in turn
	 * @param clientCount the number of clients
	 * @param taskCount the number of tasks of a job
	 * @param taskMillis how long a task takes, in milliseconds
	 */
	Traffic(List<Host> hosts, int clientCount, int taskCount, int taskMillis) {
		String job = "{\"best_effort\":true,\"task_spec\":\"" + taskMillis + "\",\"steps\":[{\"count\":" + taskCount
				+ ",\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":" + taskMillis + "}]}";
		for (int number = 0; number < clientCount; number++) {
			Host host = hosts.get(number % hosts.size());
			String prefix = String.format(ID_PREFIX + "%06x", number);
			Thread client = new Thread(() -> submit(host, prefix, job));
			client.setDaemon(true);
			client.start();
		}
	}

	private void submit(Host host, String prefix, String job) {
		for (int count = 0; !this.stopped; count++) {
			String path = Site.PREFIX + prefix + String.format("%08x", count);
			if (host.send("POST", path, job, CLIENT_TIMEOUT_MILLIS).isAccepted()) {
				this.served.incrementAndGet();
			}
			else {
				this.unserved.incrementAndGet();
				Clock.sleep(RESEND_MILLIS);
			}
		}
	}

	void stop() {
		this.stopped = true;
	}

	@Override
	public String toString() {
		return this.served + " jobs that need not be kept were served, " + this.unserved + " were not";
	}

}
