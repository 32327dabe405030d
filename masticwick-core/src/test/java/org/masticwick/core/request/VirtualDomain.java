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
 * Runs several schedulers against fake endpoints on a virtual clock, for tests of
 * behavior that emerges over many decisions.
 */
final class VirtualDomain {

	static final String SERVICE = "meals";

	static final String DOMAIN = "toto-centro";

	static final long NANOS_PER_MILLI = 1_000_000L;

	private static final double MEAN_JOB_WORK_NANOS = 1_074 * NANOS_PER_MILLI;

	final List<Scheduler> schedulers = new ArrayList<>();

	final List<EntryHost> hosts = new ArrayList<>();

	final Map<HostAddress, FakeEndpoint> endpoints = new LinkedHashMap<>();

	final Map<String, Integer> startCountsByTeam = new HashMap<>();

	final List<Double> singleTaskResponseRatios = new ArrayList<>();

	final List<Double> multiTaskResponseRatios = new ArrayList<>();

	final Set<TaskId> startedTasks = new HashSet<>();

	final Random random;

	long nowNanos;

	long networkDelayNanos = NANOS_PER_MILLI / 4;

	long reportIntervalNanos = 250 * NANOS_PER_MILLI;

	boolean reportBusySlots;

	int refusedCount;

	int repeatedStartCount;

	int droppedCount;

	int rejectedCount;

	int finishedJobCount;

	int failedJobCount;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::sequence));

	private final Map<String, SubmittedJob> jobs = new HashMap<>();

	private final long[] nextPassNanos;

	private long sequence;

	VirtualDomain(int hostCount, int endpointCount, int slotCount, Map<String, String> rules, long seed) {
		this.random = new Random(seed);
		this.nextPassNanos = new long[hostCount];
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
			this.nextPassNanos[index] = Long.MAX_VALUE;
		}
		exchangeLoadReports();
	}

	void scheduleAt(long timeNanos, Runnable action) {
		this.sequence++;
		this.events.add(new Event(timeNanos, this.sequence, action));
	}

	void run(long untilNanos) {
		while (!this.events.isEmpty() && this.events.peek().timeNanos() <= untilNanos) {
			Event event = this.events.remove();
			this.nowNanos = event.timeNanos();
			event.action().run();
		}
		this.nowNanos = untilNanos;
	}

	/**
	 * Submits a job of tasks with the given actual run times.
	 */
	void submit(int hostIndex, String team, boolean urgent, long deadlineNanos, long... runNanos) {
		this.sequence++;
		String ticket = "t" + this.sequence;
		List<TaskSpec> tasks = IntStream.range(0, runNanos.length)
			.mapToObj((index) -> new TaskSpec("check", "", 0, 0, 0))
			.toList();
		JobRequest request = new JobRequest(SERVICE, team, urgent, false, 1, tasks);
		Admission admission = this.schedulers.get(hostIndex)
			.admit(new JobSubmission(ticket, request, this.nowNanos + deadlineNanos), this.nowNanos);
		if (admission instanceof Admission.Rejected) {
			this.rejectedCount++;
			return;
		}
		this.jobs.put(ticket, new SubmittedJob(this.nowNanos, team, runNanos));
		runPass(hostIndex);
	}

	/**
	 * Schedules random arrivals of single tasks and small jobs that keep the given
	 * fraction of the slots busy on average.
	 */
	void scheduleArrivals(double loadFraction, long untilNanos) {
		int slotCount = this.endpoints.values().stream().mapToInt((endpoint) -> endpoint.slotCount).sum();
		double slotsInUse = slotCount * loadFraction;
		scheduleAt(this.nowNanos, () -> submitRandomJob(slotsInUse, untilNanos));
	}

	private void submitRandomJob(double slotsInUse, long untilNanos) {
		if (this.nowNanos >= untilNanos) {
			return;
		}
		int taskCount = (this.random.nextInt(10) == 0) ? (1 + this.random.nextInt(40)) : 1;
		long[] runNanos = IntStream.range(0, taskCount).mapToLong((index) -> drawRunNanos()).toArray();
		submit(this.random.nextInt(this.schedulers.size()), "team" + this.random.nextInt(4), false,
				60_000 * NANOS_PER_MILLI, runNanos);
		double gapNanos = -Math.log(1 - this.random.nextDouble()) * MEAN_JOB_WORK_NANOS / slotsInUse;
		scheduleAt(this.nowNanos + (long) gapNanos, () -> submitRandomJob(slotsInUse, untilNanos));
	}

	private long drawRunNanos() {
		double millis = Math.exp(Math.log(50) + this.random.nextDouble() * Math.log(20));
		return (long) (((this.random.nextInt(100) == 0) ? 5_000 : millis) * NANOS_PER_MILLI);
	}

	private void exchangeLoadReports() {
		for (int sender = 0; sender < this.schedulers.size(); sender++) {
			for (int receiver = 0; receiver < this.schedulers.size(); receiver++) {
				if (sender != receiver) {
					this.schedulers.get(receiver)
						.recordPeerLoad(this.hosts.get(sender), this.schedulers.get(sender).loadReport(this.nowNanos),
								this.nowNanos);
				}
			}
		}
		scheduleAt(this.nowNanos + this.reportIntervalNanos, this::exchangeLoadReports);
	}

	void runPass(int hostIndex) {
		SchedulingDecisions decisions = this.schedulers.get(hostIndex).schedule(this.nowNanos);
		decisions.droppedTasks().forEach((dropped) -> recordFailure(dropped.task()));
		decisions.starts()
			.forEach((start) -> scheduleAt(this.nowNanos + this.networkDelayNanos,
					() -> receiveStart(hostIndex, start)));
		long passNanos = Math.max(decisions.nextPassNanos(), this.nowNanos + 1);
		if (decisions.nextPassNanos() != SchedulingDecisions.NEVER
				&& (passNanos < this.nextPassNanos[hostIndex] || this.nextPassNanos[hostIndex] <= this.nowNanos)) {
			this.nextPassNanos[hostIndex] = passNanos;
			scheduleAt(passNanos, () -> runPassIfCurrent(hostIndex));
		}
	}

	private void runPassIfCurrent(int hostIndex) {
		if (this.nextPassNanos[hostIndex] == this.nowNanos) {
			runPass(hostIndex);
		}
	}

	private void receiveStart(int hostIndex, StartCommand start) {
		FakeEndpoint endpoint = this.endpoints.get(start.endpoint().address());
		SubmittedJob job = this.jobs.get(start.task().ticket());
		if (endpoint.leaving || endpoint.busySlotCount >= endpoint.slotCount) {
			this.refusedCount++;
			StartOutcome.Kind kind = endpoint.leaving ? StartOutcome.Kind.REFUSED_LEAVING
					: StartOutcome.Kind.REFUSED_FULL;
			scheduleAt(this.nowNanos + this.networkDelayNanos,
					() -> recordOutcome(hostIndex, start, kind, 0, StartOutcome.UNKNOWN_COUNT));
			return;
		}
		if (!this.startedTasks.add(start.task())) {
			this.repeatedStartCount++;
		}
		endpoint.busySlotCount++;
		endpoint.startedTaskCount++;
		this.startCountsByTeam.merge(job.team(), 1, Integer::sum);
		long runNanos = endpoint.failing ? (5 * NANOS_PER_MILLI)
				: (long) (job.runNanos()[start.task().index()] * endpoint.slowdownFactor);
		scheduleAt(this.nowNanos + runNanos, () -> {
			endpoint.busySlotCount--;
			StartOutcome.Kind kind = endpoint.failing ? StartOutcome.Kind.FAILED : StartOutcome.Kind.SUCCEEDED;
			int busySlotCount = this.reportBusySlots ? endpoint.busySlotCount : StartOutcome.UNKNOWN_COUNT;
			scheduleAt(this.nowNanos + this.networkDelayNanos,
					() -> recordOutcome(hostIndex, start, kind, runNanos, busySlotCount));
		});
	}

	private void recordOutcome(int hostIndex, StartCommand start, StartOutcome.Kind kind, long runNanos,
			int busySlotCount) {
		Disposition disposition = this.schedulers.get(hostIndex)
			.recordOutcome(start.task(), new StartOutcome(start.endpoint().address(), kind, runNanos, busySlotCount),
					this.nowNanos);
		if (kind == StartOutcome.Kind.SUCCEEDED) {
			recordSuccess(start.task());
		}
		else if (!(disposition instanceof Disposition.Requeued)) {
			recordFailure(start.task());
			this.schedulers.get(hostIndex).cancel(start.task().ticket(), this.nowNanos);
		}
		runPass(hostIndex);
	}

	private void recordSuccess(TaskId task) {
		SubmittedJob job = this.jobs.get(task.ticket());
		job.remainingTaskCount()[0]--;
		if (job.remainingTaskCount()[0] > 0 || job.failed()[0]) {
			return;
		}
		this.finishedJobCount++;
		int slotCount = this.endpoints.values().stream().mapToInt((endpoint) -> endpoint.slotCount).sum();
		long longestRunNanos = IntStream.range(0, job.runNanos().length)
			.mapToLong((index) -> job.runNanos()[index])
			.max()
			.orElse(1);
		double totalWorkNanos = IntStream.range(0, job.runNanos().length)
			.mapToDouble((index) -> job.runNanos()[index])
			.sum();
		double idealResponseNanos = Math.max(longestRunNanos, totalWorkNanos / slotCount) + 2 * this.networkDelayNanos;
		double responseRatio = (this.nowNanos - job.submittedNanos()) / idealResponseNanos;
		((job.runNanos().length == 1) ? this.singleTaskResponseRatios : this.multiTaskResponseRatios)
			.add(responseRatio);
	}

	private void recordFailure(TaskId task) {
		this.droppedCount++;
		SubmittedJob job = this.jobs.get(task.ticket());
		if (!job.failed()[0]) {
			job.failed()[0] = true;
			this.failedJobCount++;
		}
	}

	static double quantile(List<Double> values, double quantile) {
		List<Double> sorted = values.stream().sorted().toList();
		return sorted.isEmpty() ? 0 : sorted.get((int) Math.min(sorted.size() - 1, sorted.size() * quantile));
	}

	private record Event(long timeNanos, long sequence, Runnable action) {

	}

	private record SubmittedJob(long submittedNanos, String team, long[] runNanos, int[] remainingTaskCount,
			boolean[] failed) {

		SubmittedJob(long submittedNanos, String team, long[] runNanos) {
			this(submittedNanos, team, runNanos, new int[] { runNanos.length }, new boolean[1]);
		}

	}

}
