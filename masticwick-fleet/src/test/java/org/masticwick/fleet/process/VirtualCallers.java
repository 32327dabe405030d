package org.masticwick.fleet.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import org.masticwick.fleet.request.CallerExchange;
import org.masticwick.fleet.request.CallerReply;
import org.masticwick.fleet.request.CallerRequest;

/**
 * Simulated callers by the contract with them: a job without an answer is submitted again
 * after a while at any host, and at once if the connection breaks that was just used.
 */
final class VirtualCallers {

	private static final long RESUBMISSION_MILLIS = 1_300;

	/** Up to this age a request counts as under way when its connection breaks. */
	private static final long UNDER_WAY_MILLIS = 30;

	private static final int MAX_SUBMISSIONS = 5;

	private static final int MAX_LATENCY_MICROS = 1_500;

	/** How long after a job was sent its connection may break at the latest. */
	private static final int MAX_EARLY_RESET_MICROS = 4_000;

	/** So many submissions of a job may break right after they were sent. */
	private static final int MAX_EARLY_RESETS = 2;

	/** How long after an early reset the copy may be sent at the latest. */
	private static final int MAX_COPY_DELAY_MICROS = 5_000;

	/** How long a job whose caller has to get the result may wait besides its runs. */
	private static final long MAX_WAIT_MILLIS = 1_000;

	private static final int OK = 200;

	private static final int BAD_GATEWAY = 502;

	private static final int SERVICE_UNAVAILABLE = 503;

	private final VirtualSite site;

	private final Random random;

	private final List<Exchange> exchanges = new ArrayList<>();

	/** The jobs whose callers wait long enough and have no result. */
	private final Set<String> missingJobIds = new TreeSet<>();

	private double earlyResetShare;

	private boolean returningAfterRefusals;

	private int jobCount;

	private int completedCount;

	private boolean ended;

	VirtualCallers(VirtualSite site) {
		this.site = site;
		this.random = site.random();
	}

	int completedCount() {
		return this.completedCount;
	}

	/**
	 * Returns the jobs that have not completed although their callers waited long enough.
	 * @return the ids of the jobs
	 */
	List<String> missingJobIds() {
		return List.copyOf(this.missingJobIds);
	}

	/**
	 * Breaks connections right after a job was sent, so that a copy follows at once at a
	 * host of any failure domain.
	 * @param share the share of the submissions, from 0 to 1
	 */
	void resetEarly(double share) {
		this.earlyResetShare = share;
	}

	/**
	 * Lets callers submit a job again that was refused, however often.
	 */
	void returnAfterRefusals() {
		this.returningAfterRefusals = true;
	}

	/**
	 * Submits jobs from now on.
	 * @param meanIntervalMillis the mean time between two jobs, in milliseconds
	 */
	void start(int meanIntervalMillis) {
		if (!this.ended) {
			submitNewJob();
			this.site.time().afterMillis(this.random.nextInt(2 * meanIntervalMillis), () -> start(meanIntervalMillis));
		}
	}

	/**
	 * Submits no further jobs.
	 */
	void end() {
		this.ended = true;
	}

	void submitNewJob() {
		this.jobCount++;
		String domain = this.site.domains().get(this.random.nextInt(this.site.domains().size()));
		new Caller("j" + this.jobCount, domain).submit();
	}

	/**
	 * Submits a job at a host.
	 * @param jobId the id of the job
	 * @param hostName the name of the host
	 */
	void submitAt(String jobId, String hostName) {
		new Caller(jobId, VirtualSite.domain(hostName)).submitAt(hostName);
	}

	/**
	 * Submits a new job at each host that runs.
	 */
	void submitAtEachHost() {
		runningHostNames().forEach((hostName) -> {
			this.jobCount++;
			submitAt("j" + this.jobCount, hostName);
		});
	}

	private List<String> runningHostNames() {
		return this.site.hostNames().stream().filter((name) -> this.site.host(name).isRunning()).toList();
	}

	private <T> T pick(List<T> choices) {
		return choices.get(this.random.nextInt(choices.size()));
	}

	/**
	 * Breaks connections of callers with a host.
	 * @param hostName the name of the host
	 * @param share the share of the connections, from 0 to 1
	 */
	void resetConnections(String hostName, double share) {
		this.exchanges.removeIf((exchange) -> exchange.closed);
		List.copyOf(this.exchanges)
			.stream()
			.filter((exchange) -> exchange.hostName.equals(hostName) && this.random.nextDouble() < share)
			.forEach(Exchange::reset);
	}

	/**
	 * Breaks the connections of callers with a host that has ended.
	 * @param hostName the name of the host
	 */
	void hostEnded(String hostName) {
		this.exchanges.removeIf((exchange) -> exchange.closed);
		List.copyOf(this.exchanges)
			.stream()
			.filter((exchange) -> exchange.hostName.equals(hostName))
			.forEach(Exchange::failAfterTheEndOfTheHost);
	}

	private final class Caller {

		private final String jobId;

		private final String domain;

		private final long patienceMillis;

		private int submissionCount;

		private Caller(String jobId, String domain) {
			this.jobId = jobId;
			this.domain = domain;
			this.patienceMillis = 1_500 + VirtualCallers.this.random.nextInt(5_000);
			if (waitsLongEnough()) {
				VirtualCallers.this.missingJobIds.add(jobId);
			}
		}

		// A run that takes longer than most is moved to another endpoint once.
		private boolean waitsLongEnough() {
			return this.patienceMillis >= 2 * VirtualEndpoints.runMillis(this.jobId) + MAX_WAIT_MILLIS;
		}

		private void submit() {
			if (this.submissionCount++ >= MAX_SUBMISSIONS) {
				return;
			}
			List<String> running = runningHostNames();
			boolean moves = VirtualCallers.this.random.nextInt(20) == 0;
			List<String> near = running.stream()
				.filter((name) -> !moves && VirtualSite.domain(name).equals(this.domain))
				.toList();
			List<String> choice = near.isEmpty() ? running : near;
			if (choice.isEmpty()) {
				submitLater(RESUBMISSION_MILLIS);
			}
			else {
				submitAt(pick(choice));
			}
		}

		private void submitAt(String hostName) {
			VirtualSite site = VirtualCallers.this.site;
			site.trace().job(this.jobId, hostName, "receives submission " + this.submissionCount);
			Exchange exchange = new Exchange(this, hostName, site.host(hostName));
			VirtualCallers.this.exchanges.add(exchange);
			CallerRequest request = new CallerRequest("POST", "site", "/q/" + this.jobId, "", this.patienceMillis,
					"1".getBytes(StandardCharsets.UTF_8));
			site.time()
				.after(VirtualCallers.this.random.nextInt(MAX_LATENCY_MICROS),
						() -> exchange.host.eventLoop().execute(() -> exchange.handle(request)));
			site.time().afterMillis(this.patienceMillis, exchange::timeOut);
			if (this.submissionCount <= MAX_EARLY_RESETS && VirtualCallers.this.earlyResetShare > 0
					&& VirtualCallers.this.random.nextDouble() < VirtualCallers.this.earlyResetShare) {
				site.time().after(VirtualCallers.this.random.nextInt(MAX_EARLY_RESET_MICROS), exchange::resetEarly);
			}
		}

		private void submitCopy() {
			List<String> running = runningHostNames();
			if (running.isEmpty() || this.submissionCount++ >= MAX_SUBMISSIONS) {
				return;
			}
			submitAt(pick(running));
		}

		private void submitLater(long delayMillis) {
			VirtualCallers.this.site.time().afterMillis(delayMillis, this::submit);
		}

		private void answered(int status) {
			if (status == BAD_GATEWAY) {
				submitLater(RESUBMISSION_MILLIS);
			}
			else if (status == SERVICE_UNAVAILABLE && VirtualCallers.this.returningAfterRefusals) {
				this.submissionCount--;
				submitLater(RESUBMISSION_MILLIS);
			}
			else if (status == OK) {
				VirtualCallers.this.completedCount++;
				VirtualCallers.this.missingJobIds.remove(this.jobId);
			}
		}

	}

	private final class Exchange implements CallerExchange {

		private final Caller caller;

		private final String hostName;

		private final VirtualSite.Host host;

		private final long startMillis = VirtualCallers.this.site.time().elapsedMillis();

		private Runnable disconnectAction = () -> {
		};

		private boolean handled;

		private boolean broken;

		private boolean replied;

		/** Whether the caller has an answer, or none will come. */
		private boolean closed;

		private Exchange(Caller caller, String hostName, VirtualSite.Host host) {
			this.caller = caller;
			this.hostName = hostName;
			this.host = host;
		}

		@Override
		public void reply(CallerReply reply) {
			if (this.replied) {
				return;
			}
			this.replied = true;
			VirtualCallers.this.site.time()
				.after(VirtualCallers.this.random.nextInt(MAX_LATENCY_MICROS), () -> receive(reply.status()));
		}

		private void receive(int status) {
			if (!this.closed) {
				this.closed = true;
				VirtualCallers.this.site.trace().job(this.caller.jobId, this.hostName, "answers " + status);
				this.caller.answered(status);
			}
		}

		@Override
		public void onDisconnect(Runnable action) {
			this.disconnectAction = action;
		}

		private void handle(CallerRequest request) {
			this.host.process().requestHandler().handleCallerRequest(request, this);
			this.handled = true;
			disconnectIfBroken();
		}

		// The host reads the request before it notices the end of the connection.
		private void disconnectIfBroken() {
			if (this.handled && this.broken && !this.replied) {
				this.replied = true;
				this.disconnectAction.run();
			}
		}

		private void disconnect() {
			this.closed = true;
			VirtualCallers.this.site.time()
				.after(VirtualCallers.this.random.nextInt(MAX_LATENCY_MICROS),
						() -> this.host.eventLoop().execute(() -> {
							this.broken = true;
							disconnectIfBroken();
						}));
		}

		private void timeOut() {
			if (!this.closed) {
				VirtualCallers.this.site.trace().job(this.caller.jobId, this.hostName, "caller gives up waiting");
				disconnect();
				this.caller.submitLater(RESUBMISSION_MILLIS);
			}
		}

		private void reset() {
			VirtualCallers.this.site.trace().job(this.caller.jobId, this.hostName, "connection of the caller is reset");
			disconnect();
			boolean underWay = VirtualCallers.this.site.time().elapsedMillis() - this.startMillis < UNDER_WAY_MILLIS;
			this.caller.submitLater(underWay ? 1 + VirtualCallers.this.random.nextInt(5) : RESUBMISSION_MILLIS);
		}

		private void resetEarly() {
			if (!this.closed) {
				VirtualCallers.this.site.trace()
					.job(this.caller.jobId, this.hostName, "connection of the caller is reset early");
				disconnect();
				VirtualCallers.this.site.time()
					.after(VirtualCallers.this.random.nextInt(MAX_COPY_DELAY_MICROS), this.caller::submitCopy);
			}
		}

		private void failAfterTheEndOfTheHost() {
			VirtualCallers.this.site.trace().job(this.caller.jobId, this.hostName, "caller loses the host");
			this.closed = true;
			this.caller.submitLater(RESUBMISSION_MILLIS);
		}

	}

}
