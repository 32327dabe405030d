package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.masticwick.core.process.HostAddress;

/**
 * Simulates a load on the schedulers of several pools with a virtual clock. The
 * distributions of arrivals, task counts, run times, estimation errors and endpoint
 * speeds are those of the users' sites. Entry hosts see the load of remote pools with a
 * delay. There is no network, and no component fails.
 */
final class PoolSimulation {

	/** The interval at which owners report their load, in milliseconds. */
	private static final long REPORT_INTERVAL_MILLIS = 125;

	private static final long TICK_INTERVAL_MILLIS = 50;

	private static final long RENEWAL_INTERVAL_MILLIS = 150;

	/** The delay of a message between entry hosts, in milliseconds. */
	private static final long MESSAGE_DELAY_MILLIS = 2;

	private static final int MAX_POOLS_TRIED = 2;

	private final Load load;

	private final Random random;

	/** A source of its own, so that the other loads stay as they are. */
	private final Random variationRandom;

	private final RunVariation variation;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));

	private final List<Pool> pools = new ArrayList<>();

	private final Map<String, Submission> submissions = new HashMap<>();

	private final PoolSelector selector = new PoolSelector();

	private final Map<String, Result> results = new HashMap<>();

	private long nowMillis;

	private long nextSequence;

	private double wastedWorkMillis;

	private double workMillis;

	private int slowStopCount;

	private int disturbedStartCount;

	private double suspectedMillis;

	PoolSimulation(Load load, int poolCount, long seed) {
		this(load, RunVariation.NONE, poolCount, seed);
	}

	PoolSimulation(Load load, RunVariation variation, int poolCount, long seed) {
		this.load = load;
		this.variation = variation;
		this.random = new Random(seed);
		this.variationRandom = new Random(~seed);
		for (int index = 0; index < poolCount; index++) {
			this.pools.add(new Pool("pool-" + index));
		}
		for (int index = 0; index < load.endpointCount(); index++) {
			this.pools.get(index % poolCount).add(index);
		}
	}

	Map<String, Result> run() {
		this.load.queues().forEach((queue) -> schedule(interarrivalMillis(queue), () -> submitNext(queue)));
		this.pools.forEach((pool) -> {
			schedule(0, pool::tick);
			schedule(0, pool::report);
		});
		while (!this.events.isEmpty() && this.events.peek().atMillis() < this.load.durationMillis() + 10_000) {
			Event event = this.events.poll();
			this.nowMillis = event.atMillis();
			event.action().run();
		}
		return this.results;
	}

	double wastedWorkMillis() {
		return this.wastedWorkMillis;
	}

	/**
	 * Returns the share of the started work that was discarded.
	 * @return the share
	 */
	double wastedShare() {
		return this.wastedWorkMillis / this.workMillis;
	}

	int slowStopCount() {
		return this.slowStopCount;
	}

	/**
	 * Returns how many runs were started on endpoints while these were disturbed.
	 * @return the number
	 */
	int disturbedStartCount() {
		return this.disturbedStartCount;
	}

	/**
	 * Returns the mean share of the capacity of endpoints that were suspected.
	 * @return the share
	 */
	double suspectedShare() {
		return this.suspectedMillis / this.load.durationMillis();
	}

	private void schedule(double delayMillis, Runnable action) {
		long atMillis = this.nowMillis + Math.max(0, Math.round(delayMillis));
		this.events.add(new Event(atMillis, this.nextSequence++, action));
	}

	private double interarrivalMillis(QueueLoad queue) {
		double burst = this.load.burstFactor(this.nowMillis);
		return -Math.log(1 - this.random.nextDouble()) * 1_000 / (queue.jobsPerSecond() * burst);
	}

	private double logNormalFactor(double sigma) {
		return Math.exp(this.random.nextGaussian() * sigma - sigma * sigma / 2);
	}

	private void submitNext(QueueLoad queue) {
		if (this.nowMillis > this.load.durationMillis()) {
			return;
		}
		schedule(interarrivalMillis(queue), () -> submitNext(queue));
		int width = (int) Math.max(1, Math.min(queue.maxWidth(), Math.round(queue.width() * logNormalFactor(0.4))));
		double workMillis = Math.min(queue.workMillis() * 4, queue.workMillis() * logNormalFactor(0.4));
		long cpuMillicores = (long) Math.min(1.5 * this.load.taskMillicores(),
				this.load.taskMillicores() * logNormalFactor(0.2));
		long estimatedMillis = Math.max(1, Math.round(workMillis * logNormalFactor(0.4)));
		String jobId = "job-" + this.submissions.size();
		StepSpec step = new StepSpec(width, new Resources(cpuMillicores, 64, 0), estimatedMillis, List.of(), "", "", 0);
		Submission submission = new Submission(new JobSpec(jobId, "", List.of(step)), queue, workMillis, this.nowMillis,
				this.random.nextInt(this.pools.size()), taskMillis(width, workMillis));
		this.submissions.put(jobId, submission);
		send(submission);
	}

	private double[] taskMillis(int width, double workMillis) {
		double[] millis = new double[width];
		for (int index = 0; index < width; index++) {
			boolean longTask = this.variationRandom.nextDouble() < this.variation.longTaskShare();
			double factor = Math.exp(this.variationRandom.nextGaussian() * 0.15 - 0.15 * 0.15 / 2);
			millis[index] = workMillis * factor * (longTask ? this.variation.longTaskFactor() : 1);
		}
		return millis;
	}

	private void send(Submission submission) {
		List<PoolSelector.Candidate> candidates = this.pools.stream()
			.map((pool) -> pool.candidate(submission.domain))
			.toList();
		long neededMillicores = submission.job.taskCount() * submission.job.steps().get(0).demand().cpuMillicores();
		PoolSelector.Candidate chosen = this.selector.select(candidates, neededMillicores, submission.tried)
			.orElseThrow();
		submission.tried.add(chosen.pool());
		Pool pool = this.pools.stream().filter((each) -> each.name.equals(chosen.pool())).findFirst().orElseThrow();
		pool.sentMillicores += neededMillicores;
		QueueLoad queue = submission.queue;
		long budgetMillis = submission.arrivedMillis + queue.budgetMillis() - this.nowMillis;
		JobTerms terms = new JobTerms(queue.name(), "service", queue.priority(), 3, queue.stretch(),
				queue.targetLatencyMillis(), budgetMillis, 1);
		schedule(MESSAGE_DELAY_MILLIS,
				() -> pool.scheduler.submit(submission.job, terms, new JobOrigin("host", 0), this.nowMillis));
	}

	private void answered(PooledJob job, JobOutcome outcome) {
		Submission submission = this.submissions.get(job.spec().jobId());
		boolean retriesElsewhere = outcome.kind() == JobOutcome.Kind.REFUSED
				&& submission.tried.size() < Math.min(MAX_POOLS_TRIED, this.pools.size());
		if (retriesElsewhere) {
			schedule(MESSAGE_DELAY_MILLIS, () -> send(submission));
			return;
		}
		Result result = this.results.computeIfAbsent(submission.queue.name(), (name) -> new Result());
		result.count(submission, outcome, objectiveMillis(submission), this.nowMillis);
	}

	private double objectiveMillis(Submission submission) {
		double longestMillis = this.variation.isFixedByTask() ? Arrays.stream(submission.taskMillis).max().orElseThrow()
				: submission.workMillis;
		return submission.queue.stretch() * longestMillis + submission.queue.targetLatencyMillis();
	}

	private record Event(long atMillis, long sequence, Runnable action) {
	}

	/**
	 * A queue and the distribution of its jobs.
	 */
	record QueueLoad(String name, int priority, double jobsPerSecond, double width, int maxWidth, double workMillis,
			double stretch, long targetLatencyMillis, long budgetMillis, double jobValue) {
	}

	/**
	 * The load of a site: its queues, endpoints and burst.
	 */
	record Load(List<QueueLoad> queues, int endpointCount, double taskMillicores, List<Double> speeds,
			long durationMillis, double scale, double burst, long burstFromMillis, long burstToMillis) {

		/**
		 * Returns the combined load of both users' sites, relative to a standard day.
		 * @param scale the factor on all arrival rates
		 * @param burst the additional factor during the burst
		 * @return the load
		 */
		static Load mix(double scale, double burst) {
			return new Load(
					List.of(new QueueLoad("check", 0, 24.1 * scale, 8, 32, 60, 1.6, 60, 4_000, 0.0291),
							new QueueLoad("confirm", 2, 4.37 * scale, 4, 16, 900, 1.6, 60, 6_000, 0.16),
							new QueueLoad("status", 1, 70 * scale, 2, 8, 200, 1.6, 60, 4_000, 0.01)),
					33, 27_000, List.of(0.8, 1.0, 1.25), 30_000, scale, burst, 8_000, 14_000);
		}

		/**
		 * Returns the load of a site of hundreds of endpoints of equal speed.
		 * @param scale the factor on all arrival rates
		 * @param burst the additional factor during the burst
		 * @return the load
		 */
		static Load large(double scale, double burst) {
			return new Load(
					List.of(new QueueLoad("check", 0, 216 * scale, 8, 32, 60, 1.6, 60, 1_500, 0.00323),
							new QueueLoad("confirm", 2, 39.4 * scale, 4, 16, 900, 1.6, 60, 3_000, 0.0178),
							new QueueLoad("status", 1, 630 * scale, 2, 8, 200, 1.6, 60, 1_500, 0.00111)),
					260, 23_000, List.of(1.0), 16_000, scale, burst, 8_000, 12_000);
		}

		/**
		 * Returns the load of a site of hundreds of endpoints of unequal speed.
		 * @param scale the factor on all arrival rates
		 * @param budgetMillis how long callers wait, in milliseconds
		 * @return the load
		 */
		static Load uneven(double scale, long budgetMillis) {
			return new Load(
					List.of(new QueueLoad("check", 0, 206 * scale, 8, 32, 51, 1.6, 60, budgetMillis, 0.00485),
							new QueueLoad("confirm", 2, 37.5 * scale, 4, 16, 760, 1.6, 60, budgetMillis, 0.0267),
							new QueueLoad("status", 1, 600 * scale, 2, 8, 170, 1.6, 60, budgetMillis, 0.00167)),
					246, 32_000, List.of(1 / 0.7, 1 / 0.7, 1 / 1.7), 16_000, scale, 1, 0, 0);
		}

		double burstFactor(long atMillis) {
			return (atMillis >= this.burstFromMillis && atMillis < this.burstToMillis) ? this.burst : 1;
		}

	}

	/**
	 * The outcomes of the jobs of a queue.
	 */
	static final class Result {

		private final Map<JobOutcome.Kind, Integer> kinds = new EnumMap<>(JobOutcome.Kind.class);

		private int submittedCount;

		private int onTimeCount;

		private int lateCount;

		private double earnedValue;

		private double offeredValue;

		private final Map<LateCause, Integer> lateCauses = new EnumMap<>(LateCause.class);

		private void count(Submission submission, JobOutcome outcome, double objectiveMillis, long nowMillis) {
			this.submittedCount++;
			this.kinds.merge(outcome.kind(), 1, Integer::sum);
			QueueLoad queue = submission.queue;
			double size = submission.workMillis * submission.job.taskCount() / (queue.workMillis() * queue.width());
			double jobValue = queue.jobValue() * (0.3 + 0.7 * Math.min(size, 5));
			this.offeredValue += jobValue;
			double tookMillis = nowMillis - submission.arrivedMillis;
			if (outcome.kind() == JobOutcome.Kind.COMPLETED && tookMillis > objectiveMillis) {
				this.lateCauses.merge(submission.lateCause(objectiveMillis), 1, Integer::sum);
			}
			if (outcome.kind() != JobOutcome.Kind.COMPLETED || tookMillis > 3 * objectiveMillis) {
				return;
			}
			boolean onTime = tookMillis <= objectiveMillis;
			this.onTimeCount += onTime ? 1 : 0;
			this.lateCount += onTime ? 0 : 1;
			this.earnedValue += onTime ? jobValue : jobValue / 5;
		}

		int submittedCount() {
			return this.submittedCount;
		}

		double onTimeShare() {
			return (double) this.onTimeCount / this.submittedCount;
		}

		double lateShare() {
			return (double) this.lateCount / this.submittedCount;
		}

		/**
		 * Returns the share of jobs that were completed late, also if far too late.
		 * @return the share
		 */
		double completedLateShare() {
			return this.lateCauses.values().stream().mapToInt(Integer::intValue).sum() / (double) this.submittedCount;
		}

		double lateShare(LateCause cause) {
			return this.lateCauses.getOrDefault(cause, 0) / (double) this.submittedCount;
		}

		double share(JobOutcome.Kind kind) {
			return (double) this.kinds.getOrDefault(kind, 0) / this.submittedCount;
		}

		double earnedValue() {
			return this.earnedValue;
		}

		double offeredValue() {
			return this.offeredValue;
		}

	}

	/**
	 * Why the last task of a job made it late.
	 */
	enum LateCause {

		/** A run of the task was stopped as slow. */
		RESTART,

		/** On the endpoint the run alone takes longer than the objective. */
		SLOW_ENDPOINT,

		/** The task started too late. */
		WAIT

	}

	private static final class Submission {

		private final JobSpec job;

		private final QueueLoad queue;

		private final double workMillis;

		private final long arrivedMillis;

		private final int domain;

		private final Set<String> tried = new HashSet<>();

		private final double[] taskMillis;

		private final Set<Integer> movedTasks = new HashSet<>();

		private int lastTask;

		private double lastRunMillis;

		private Submission(JobSpec job, QueueLoad queue, double workMillis, long arrivedMillis, int domain,
				double[] taskMillis) {
			this.job = job;
			this.queue = queue;
			this.workMillis = workMillis;
			this.arrivedMillis = arrivedMillis;
			this.domain = domain;
			this.taskMillis = taskMillis;
		}

		private LateCause lateCause(double objectiveMillis) {
			if (this.movedTasks.contains(this.lastTask)) {
				return LateCause.RESTART;
			}
			return (this.lastRunMillis > objectiveMillis) ? LateCause.SLOW_ENDPOINT : LateCause.WAIT;
		}

	}

	/**
	 * A pool with its scheduler and its simulated endpoints.
	 */
	private final class Pool implements PoolActions {

		private final String name;

		private final Map<String, Endpoint> endpoints = new HashMap<>();

		private final PoolScheduler scheduler = new PoolScheduler(PoolSettings.defaults(), this);

		private PoolLoad reportedLoad = new PoolLoad(0, 0, 0, 0);

		private long sentMillicores;

		private Pool(String name) {
			this.name = name;
		}

		private void add(int index) {
			List<Double> speeds = PoolSimulation.this.load.speeds();
			long cpuMillicores = (index % 3 == 2) ? 96_000 : 64_000;
			EndpointEntry entry = new EndpointEntry("endpoint-" + index, "service",
					new HostAddress("10.0.0.1", 1_000 + index), "domain", true,
					new Resources(cpuMillicores, 131_072, 0), Set.of(), 1);
			Endpoint endpoint = new Endpoint(entry, speeds.get(PoolSimulation.this.random.nextInt(speeds.size())));
			this.endpoints.put(entry.id(), endpoint);
			RunVariation variation = PoolSimulation.this.variation;
			if (variation.hasDisturbance()
					&& PoolSimulation.this.variationRandom.nextDouble() < variation.disturbedShare()) {
				schedule(variation.disturbedFromMillis(), () -> disturb(endpoint, variation.disturbedFactor()));
				schedule(variation.disturbedToMillis(), () -> disturb(endpoint, 1));
			}
			this.scheduler.endpointListed(entry, 0);
			schedule(0, () -> renew(endpoint));
		}

		private void disturb(Endpoint endpoint, double factor) {
			endpoint.disturbance = factor;
			endpoint.runningTasks.forEach((run, running) -> {
				running.setSlowness(endpoint.slowness(), PoolSimulation.this.nowMillis);
				schedule(running.remainingMillis(), () -> terminateRun(endpoint, run, TerminationKind.DONE));
			});
		}

		private PoolSelector.Candidate candidate(int domain) {
			boolean local = this.name.equals("pool-" + domain);
			PoolLoad visibleLoad = local ? this.scheduler.load(PoolSimulation.this.nowMillis) : this.reportedLoad;
			long sentSinceReport = local ? 0 : this.sentMillicores;
			return new PoolSelector.Candidate(this.name, local, false, visibleLoad.freeMillicores() - sentSinceReport,
					visibleLoad.backlogMillis());
		}

		private void tick() {
			if (PoolSimulation.this.nowMillis < PoolSimulation.this.load.durationMillis()) {
				PoolSimulation.this.suspectedMillis += TICK_INTERVAL_MILLIS * suspectedShare()
						/ PoolSimulation.this.pools.size();
			}
			this.scheduler.tick(PoolSimulation.this.nowMillis);
			schedule(TICK_INTERVAL_MILLIS, this::tick);
		}

		// Suspected endpoints do not count as capacity.
		private double suspectedShare() {
			long listedMillicores = this.endpoints.values()
				.stream()
				.mapToLong((endpoint) -> endpoint.entry.capacity().cpuMillicores())
				.sum();
			return 1 - (double) this.scheduler.load(PoolSimulation.this.nowMillis).totalMillicores() / listedMillicores;
		}

		private void report() {
			this.reportedLoad = this.scheduler.load(PoolSimulation.this.nowMillis);
			this.sentMillicores = 0;
			schedule(REPORT_INTERVAL_MILLIS, this::report);
		}

		private void renew(Endpoint endpoint) {
			sendReport(endpoint);
			schedule(RENEWAL_INTERVAL_MILLIS, () -> renew(endpoint));
		}

		private void sendReport(Endpoint endpoint) {
			long now = PoolSimulation.this.nowMillis;
			List<RunningTask> runningTasks = endpoint.runningTasks.entrySet()
				.stream()
				.map((each) -> new RunningTask(each.getKey(), each.getValue().percent(now)))
				.toList();
			List<TerminatedRun> terminatedRuns = List.copyOf(endpoint.terminatedRuns);
			endpoint.terminatedRuns.clear();
			this.scheduler.endpointReported(endpoint.entry.id(),
					new EndpointReport(1, now, runningTasks, terminatedRuns), now - 1, now);
		}

		@Override
		public void start(EndpointEntry entry, TaskRun run, String payload, String checkpoint) {
			Endpoint endpoint = this.endpoints.get(entry.id());
			schedule(1, () -> startRun(endpoint, run));
		}

		private void startRun(Endpoint endpoint, TaskRun run) {
			Submission submission = PoolSimulation.this.submissions.get(run.task().jobId());
			double taskMillis = PoolSimulation.this.variation.isFixedByTask()
					? submission.taskMillis[run.task().index()] : submission.workMillis * logNormalFactor(0.15);
			Running running = new Running(PoolSimulation.this.nowMillis, taskMillis, endpoint.slowness());
			endpoint.runningTasks.put(run, running);
			PoolSimulation.this.disturbedStartCount += (endpoint.disturbance != 1) ? 1 : 0;
			this.scheduler.startAccepted(endpoint.entry.id(), run, PoolSimulation.this.nowMillis);
			schedule(running.remainingMillis(), () -> terminateRun(endpoint, run, TerminationKind.DONE));
		}

		private void terminateRun(Endpoint endpoint, TaskRun run, TerminationKind kind) {
			Running running = endpoint.runningTasks.get(run);
			if (running == null || kind == TerminationKind.DONE && !running.isDone(PoolSimulation.this.nowMillis)) {
				return;
			}
			endpoint.runningTasks.remove(run);
			Submission submission = PoolSimulation.this.submissions.get(run.task().jobId());
			submission.lastTask = run.task().index();
			submission.lastRunMillis = PoolSimulation.this.nowMillis - running.startedMillis;
			PoolSimulation.this.workMillis += submission.lastRunMillis;
			if (kind != TerminationKind.DONE) {
				PoolSimulation.this.wastedWorkMillis += submission.lastRunMillis;
			}
			endpoint.terminationCount++;
			endpoint.terminatedRuns.add(new TerminatedRun(endpoint.terminationCount, run, kind));
			sendReport(endpoint);
		}

		@Override
		public void stop(EndpointEntry entry, TaskRun run, String reason) {
			Endpoint endpoint = this.endpoints.get(entry.id());
			if (reason.startsWith("slow")) {
				PoolSimulation.this.slowStopCount++;
				PoolSimulation.this.submissions.get(run.task().jobId()).movedTasks.add(run.task().index());
			}
			schedule(1, () -> terminateRun(endpoint, run, TerminationKind.STOPPED));
		}

		@Override
		public void durableRunTerminated(PooledJob job, TerminationId termination) {
			throw new IllegalStateException("the simulation has no durable jobs");
		}

		@Override
		public void orphanedRunTerminated(TerminationId termination, TerminatedRun terminatedRun) {
			throw new IllegalStateException("the simulation has no durable jobs");
		}

		@Override
		public void runLost(LostRun lostRun) {
			// The simulation counts only what callers get.
		}

		@Override
		public void endpointRestarted(EndpointEntry entry, long startedEpochMillis) {
			// The simulation counts only what callers get.
		}

		@Override
		public void taskLossChanged(TaskLoss loss) {
			// The simulation counts only what callers get.
		}

		@Override
		public void restartDecided(TaskId task, RestartVerdict verdict, int crashCount, int unexplainedCount) {
			// The simulation counts only what callers get.
		}

		@Override
		public void answer(PooledJob job, JobOutcome outcome) {
			schedule(MESSAGE_DELAY_MILLIS, () -> answered(job, outcome));
		}

	}

	private static final class Running {

		private final long startedMillis;

		private final double workMillis;

		private double doneMillis;

		private double slowness;

		private long changedMillis;

		private Running(long startedMillis, double workMillis, double slowness) {
			this.startedMillis = startedMillis;
			this.changedMillis = startedMillis;
			this.workMillis = workMillis;
			this.slowness = slowness;
		}

		private void setSlowness(double newSlowness, long nowMillis) {
			this.doneMillis = doneMillis(nowMillis);
			this.changedMillis = nowMillis;
			this.slowness = newSlowness;
		}

		private double doneMillis(long nowMillis) {
			return this.doneMillis + (nowMillis - this.changedMillis) / this.slowness;
		}

		/**
		 * Returns the time to the end since the speed of the endpoint changed last.
		 * @return the time in milliseconds
		 */
		private double remainingMillis() {
			return (this.workMillis - this.doneMillis) * this.slowness;
		}

		// Events have whole milliseconds.
		private boolean isDone(long nowMillis) {
			return this.changedMillis + Math.round(remainingMillis()) <= nowMillis;
		}

		private int percent(long nowMillis) {
			return (int) Math.min(99, doneMillis(nowMillis) * 100 / Math.max(1 / this.slowness, this.workMillis));
		}

	}

	private static final class Endpoint {

		private final EndpointEntry entry;

		private final double usualSlowness;

		private double disturbance = 1;

		private final Map<TaskRun, Running> runningTasks = new HashMap<>();

		private final List<TerminatedRun> terminatedRuns = new ArrayList<>();

		private long terminationCount;

		private Endpoint(EndpointEntry entry, double usualSlowness) {
			this.entry = entry;
			this.usualSlowness = usualSlowness;
		}

		private double slowness() {
			return this.usualSlowness * this.disturbance;
		}

	}

}
