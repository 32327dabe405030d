package org.masticwick.core.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.version.EndpointSpec;
import org.masticwick.core.version.Rules;
import org.masticwick.core.version.ServiceSpec;
import org.masticwick.core.version.SiteVersion;

/**
 * Drives several schedulers against fake endpoints by a virtual clock, for focused tests
 * of decisions that only show over time.
 */
final class VirtualDomain {

	static final String SERVICE = "meals";

	static final String DOMAIN = "toto-centro";

	static final long MILLI = 1_000_000L;

	private static final double MEAN_JOB_WORK_NANOS = 1_074 * MILLI;

	final List<Scheduler> schedulers = new ArrayList<>();

	final List<EntryHost> hosts = new ArrayList<>();

	final Map<HostAddress, FakeEndpoint> endpoints = new LinkedHashMap<>();

	final Map<String, Integer> startsByTeam = new HashMap<>();

	final List<Double> singleRatios = new ArrayList<>();

	final List<Double> jobRatios = new ArrayList<>();

	final Set<TaskId> startedTasks = new HashSet<>();

	final Random random;

	long nowNanos;

	long hopNanos = MILLI / 4;

	long reportNanos = 250 * MILLI;

	boolean tellBusy;

	int refusedCount;

	int repeatedStartCount;

	int droppedCount;

	int rejectedCount;

	int finishedJobCount;

	int failedJobCount;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));

	private final Map<String, JobRun> jobs = new HashMap<>();

	private final long[] wakeNanos;

	private long sequence;

	VirtualDomain(int hostCount, int endpointCount, int slotCount, Map<String, String> rules, long seed) {
		this.random = new Random(seed);
		this.wakeNanos = new long[hostCount];
		Map<HostAddress, EndpointSpec> specs = new HashMap<>();
		IntStream.range(0, endpointCount).forEach((index) -> {
			HostAddress address = new HostAddress("10.0.1." + (index + 1), 80);
			specs.put(address, new EndpointSpec(address, DOMAIN, "r" + index / 8, SERVICE, slotCount, 64, 64, 1000, 0));
			this.endpoints.put(address, new FakeEndpoint(slotCount));
		});
		SiteVersion version = new SiteVersion(1, Map.of(SERVICE, new ServiceSpec(SERVICE, Set.of(), true, 60_000)),
				specs, new Rules(rules));
		for (int index = 0; index < hostCount; index++) {
			EntryHost host = new EntryHost(DOMAIN, new HostAddress("10.0.0." + (index + 1), 70),
					new Incarnation(index, index));
			this.hosts.add(host);
			this.schedulers
				.add(Schedulers.create(SchedulerSettings.defaults(), DOMAIN, host, new Random(seed + index)));
			this.schedulers.get(index).updateVersion(version, 0);
			this.wakeNanos[index] = Long.MAX_VALUE;
		}
		report();
	}

	void at(long atNanos, Runnable action) {
		this.sequence++;
		this.events.add(new Event(atNanos, this.sequence, action));
	}

	void run(long untilNanos) {
		while (!this.events.isEmpty() && this.events.peek().atNanos() <= untilNanos) {
			Event event = this.events.remove();
			this.nowNanos = event.atNanos();
			event.action().run();
		}
		this.nowNanos = untilNanos;
	}

	/**
	 * Submits a job of tasks with the given true run times.
	 */
	void submit(int host, String team, boolean urgent, long deadlineNanos, long... runNanos) {
		this.sequence++;
		String ticket = "t" + this.sequence;
		List<TaskSpec> tasks = IntStream.range(0, runNanos.length)
			.mapToObj((index) -> new TaskSpec("check", "", 0, 0, 0))
			.toList();
		JobRequest request = new JobRequest(SERVICE, team, urgent, false, 1, tasks);
		Admission admission = this.schedulers.get(host)
			.admit(new JobSubmission(ticket, request, this.nowNanos + deadlineNanos), this.nowNanos);
		if (admission instanceof Admission.Rejected) {
			this.rejectedCount++;
			return;
		}
		this.jobs.put(ticket, new JobRun(this.nowNanos, team, runNanos));
		turn(host);
	}

	/**
	 * Lets single tasks and small jobs arrive at random at the given part of the slots.
	 */
	void arrivals(double load, long untilNanos) {
		int slotCount = this.endpoints.values().stream().mapToInt((endpoint) -> endpoint.slotCount).sum();
		double taskNanos = slotCount * load;
		at(this.nowNanos, () -> arrive(taskNanos, untilNanos));
	}

	private void arrive(double slotsInUse, long untilNanos) {
		if (this.nowNanos >= untilNanos) {
			return;
		}
		int count = (this.random.nextInt(10) == 0) ? (1 + this.random.nextInt(40)) : 1;
		long[] runNanos = IntStream.range(0, count).mapToLong((index) -> drawRunNanos()).toArray();
		submit(this.random.nextInt(this.schedulers.size()), "team" + this.random.nextInt(4), false, 60_000 * MILLI,
				runNanos);
		double gapNanos = -Math.log(1 - this.random.nextDouble()) * MEAN_JOB_WORK_NANOS / slotsInUse;
		at(this.nowNanos + (long) gapNanos, () -> arrive(slotsInUse, untilNanos));
	}

	private long drawRunNanos() {
		double millis = Math.exp(Math.log(50) + this.random.nextDouble() * Math.log(20));
		return (long) (((this.random.nextInt(100) == 0) ? 5_000 : millis) * MILLI);
	}

	private void report() {
		for (int from = 0; from < this.schedulers.size(); from++) {
			for (int to = 0; to < this.schedulers.size(); to++) {
				if (from != to) {
					this.schedulers.get(to)
						.recordPeerLoad(this.hosts.get(from), this.schedulers.get(from).loadReport(this.nowNanos),
								this.nowNanos);
				}
			}
		}
		at(this.nowNanos + this.reportNanos, this::report);
	}

	void turn(int host) {
		SchedulingDecisions turn = this.schedulers.get(host).schedule(this.nowNanos);
		turn.droppedTasks().forEach((dropped) -> fail(dropped.task()));
		turn.starts().forEach((start) -> at(this.nowNanos + this.hopNanos, () -> post(host, start)));
		long wake = Math.max(turn.nextPassNanos(), this.nowNanos + 1);
		if (turn.nextPassNanos() != SchedulingDecisions.NEVER
				&& (wake < this.wakeNanos[host] || this.wakeNanos[host] <= this.nowNanos)) {
			this.wakeNanos[host] = wake;
			at(wake, () -> wake(host));
		}
	}

	private void wake(int host) {
		if (this.wakeNanos[host] == this.nowNanos) {
			turn(host);
		}
	}

	private void post(int host, StartCommand start) {
		FakeEndpoint endpoint = this.endpoints.get(start.endpoint().address());
		JobRun job = this.jobs.get(start.task().ticket());
		if (endpoint.leaving || endpoint.busyCount >= endpoint.slotCount) {
			this.refusedCount++;
			StartOutcome.Kind kind = endpoint.leaving ? StartOutcome.Kind.REFUSED_LEAVING
					: StartOutcome.Kind.REFUSED_FULL;
			at(this.nowNanos + this.hopNanos, () -> end(host, start, kind, 0, StartOutcome.UNKNOWN_COUNT));
			return;
		}
		if (!this.startedTasks.add(start.task())) {
			this.repeatedStartCount++;
		}
		endpoint.busyCount++;
		endpoint.startCount++;
		this.startsByTeam.merge(job.team(), 1, Integer::sum);
		long runNanos = endpoint.failing ? (5 * MILLI)
				: (long) (job.runNanos()[start.task().index()] * endpoint.slowness);
		at(this.nowNanos + runNanos, () -> {
			endpoint.busyCount--;
			StartOutcome.Kind kind = endpoint.failing ? StartOutcome.Kind.FAILED : StartOutcome.Kind.SUCCEEDED;
			int busyCount = this.tellBusy ? endpoint.busyCount : StartOutcome.UNKNOWN_COUNT;
			at(this.nowNanos + this.hopNanos, () -> end(host, start, kind, runNanos, busyCount));
		});
	}

	private void end(int host, StartCommand start, StartOutcome.Kind kind, long runNanos, int busyCount) {
		Disposition disposition = this.schedulers.get(host)
			.recordOutcome(start.task(), new StartOutcome(start.endpoint().address(), kind, runNanos, busyCount),
					this.nowNanos);
		if (kind == StartOutcome.Kind.SUCCEEDED) {
			succeed(start.task());
		}
		else if (!(disposition instanceof Disposition.Requeued)) {
			fail(start.task());
			this.schedulers.get(host).cancel(start.task().ticket(), this.nowNanos);
		}
		turn(host);
	}

	private void succeed(TaskId task) {
		JobRun job = this.jobs.get(task.ticket());
		job.left()[0]--;
		if (job.left()[0] > 0 || job.failed()[0]) {
			return;
		}
		this.finishedJobCount++;
		int slotCount = this.endpoints.values().stream().mapToInt((endpoint) -> endpoint.slotCount).sum();
		long longest = IntStream.range(0, job.runNanos().length)
			.mapToLong((index) -> job.runNanos()[index])
			.max()
			.orElse(1);
		double work = IntStream.range(0, job.runNanos().length).mapToDouble((index) -> job.runNanos()[index]).sum();
		double ideal = Math.max(longest, work / slotCount) + 2 * this.hopNanos;
		double ratio = (this.nowNanos - job.submittedNanos()) / ideal;
		((job.runNanos().length == 1) ? this.singleRatios : this.jobRatios).add(ratio);
	}

	private void fail(TaskId task) {
		this.droppedCount++;
		JobRun job = this.jobs.get(task.ticket());
		if (!job.failed()[0]) {
			job.failed()[0] = true;
			this.failedJobCount++;
		}
	}

	static double quantile(List<Double> values, double quantile) {
		List<Double> sorted = values.stream().sorted().toList();
		return sorted.isEmpty() ? 0 : sorted.get((int) Math.min(sorted.size() - 1, sorted.size() * quantile));
	}

	private record Event(long atNanos, long sequence, Runnable action) {

	}

	private record JobRun(long submittedNanos, String team, long[] runNanos, int[] left, boolean[] failed) {

		JobRun(long submittedNanos, String team, long[] runNanos) {
			this(submittedNanos, team, runNanos, new int[] { runNanos.length }, new boolean[1]);
		}

	}

}
