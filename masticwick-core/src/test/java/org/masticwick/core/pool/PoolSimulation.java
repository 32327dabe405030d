package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.IntStream;

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

	/** The time without contact after which a lease has expired, in milliseconds. */
	private static final long LEASE_MILLIS = 770;

	private static final int MAX_POOLS_TRIED = 2;

	/** The standard deviation of the logarithm of run times around their mean. */
	private static final double RUN_SIGMA = 0.15;

	private final Load load;

	private final Supplier<AdmissionPolicy> admission;

	private final Random random;

	private final long seed;

	/** A source of its own, so that the other loads stay as they are. */
	private final Random variationRandom;

	private final RunVariation variation;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));

	private final List<Pool> pools = new ArrayList<>();

	private final Map<String, Submission> submissions = new HashMap<>();

	private final PoolSelector selector = new PoolSelector();

	private final Map<String, Result> results = new HashMap<>();

	private final Map<String, NavigableMap<Long, Result>> resultsBySecond = new TreeMap<>();

	private final Map<Long, Double> returnedWorkBySecond = new TreeMap<>();

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
		this(load, variation, poolCount, seed, () -> new LoadShedding(new PriorityCost()));
	}

	PoolSimulation(Load load, int poolCount, long seed, Supplier<AdmissionPolicy> admission) {
		this(load, RunVariation.NONE, poolCount, seed, admission);
	}

	private PoolSimulation(Load load, RunVariation variation, int poolCount, long seed,
			Supplier<AdmissionPolicy> admission) {
		this.load = load;
		this.variation = variation;
		this.admission = admission;
		this.seed = seed;
		this.random = new Random(seed);
		this.variationRandom = new Random(~seed);
		for (int index = 0; index < poolCount; index++) {
			this.pools.add(new Pool("pool-" + index));
		}
		for (int index = 0; index < load.endpointCount(); index++) {
			this.pools.get(index % poolCount).add(index);
		}
	}

	/**
	 * Returns the results of the jobs that arrived in each second.
	 * @return the results by queue and by second from the start
	 */
	Map<String, NavigableMap<Long, Result>> resultsBySecond() {
		return this.resultsBySecond;
	}

	/**
	 * Returns the work of the callers that returned in each second after a refusal.
	 * @return the work in thousandths of a core times milliseconds, by second from the
	 * start
	 */
	Map<Long, Double> returnedWorkBySecond() {
		return this.returnedWorkBySecond;
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
		double burst = this.load.burstFactor(queue.name(), this.nowMillis);
		return -Math.log(1 - this.random.nextDouble()) * 1_000 / (queue.jobsPerSecond() * burst);
	}

	private double logNormalFactor(double sigma) {
		return Math.exp(this.random.nextGaussian() * sigma - sigma * sigma / 2);
	}

	/**
	 * Returns the factor on the run time of a task, which does not depend on the
	 * decisions of the schedulers.
	 * @param run the run of the task
	 * @return the factor
	 */
	private double runFactor(TaskRun run) {
		SplittableRandom runRandom = new SplittableRandom(this.seed + ((long) run.hashCode() << Integer.SIZE));
		return Math.exp(runRandom.nextGaussian() * RUN_SIGMA - RUN_SIGMA * RUN_SIGMA / 2);
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
		StepSpec step = new StepSpec(width, new Resources(cpuMillicores, 64, 0), estimatedMillis, List.of(), "", "", 0);
		submit(queue, step, workMillis, this.random.nextInt(this.pools.size()));
	}

	private void submit(QueueLoad queue, StepSpec step, double workMillis, int domain) {
		String jobId = "job-" + this.submissions.size();
		Submission submission = new Submission(new JobSpec(jobId, "", List.of(step)), queue, workMillis, this.nowMillis,
				domain, taskMillis(step.taskCount(), workMillis));
		this.submissions.put(jobId, submission);
		send(submission);
	}

	private void submitAgain(Submission refused) {
		StepSpec step = refused.job.steps().get(0);
		double work = refused.workMillis * step.taskCount() * step.demand().cpuMillicores();
		this.returnedWorkBySecond.merge(this.nowMillis / 1_000, work, Double::sum);
		submit(refused.queue, step, refused.workMillis, refused.domain);
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
		String queue = submission.queue.name();
		double objectiveMillis = objectiveMillis(submission);
		this.results.computeIfAbsent(queue, (name) -> new Result())
			.count(submission, outcome, objectiveMillis, this.nowMillis);
		this.resultsBySecond.computeIfAbsent(queue, (name) -> new TreeMap<>())
			.computeIfAbsent(submission.arrivedMillis / 1_000, (second) -> new Result())
			.count(submission, outcome, objectiveMillis, this.nowMillis);
		if (this.load.callersReturn() && outcome.kind() == JobOutcome.Kind.REFUSED) {
			schedule(outcome.retryAfterMillis(), () -> submitAgain(submission));
		}
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
	 * A time in which jobs arrive more or less often.
	 *
	 * @param queue the queue, or an empty string for all queues
	 * @param factor the factor on the arrival rate
	 * @param fromMillis the start in milliseconds
	 * @param toMillis the end in milliseconds
	 */
	record Burst(String queue, double factor, long fromMillis, long toMillis) {
	}

	/**
	 * A time in which endpoints are unavailable.
	 *
	 * @param share the share of the endpoints
	 * @param fromMillis the start in milliseconds
	 * @param toMillis the end in milliseconds
	 */
	record Outage(double share, long fromMillis, long toMillis) {

		/** All endpoints are available. */
		private static final Outage NONE = new Outage(0, 0, 0);

	}

	/**
	 * The load of a site: its queues, endpoints, bursts and outage. Every third endpoint
	 * has 1.5 times the capacity of the others; with a stride of the number of pools,
	 * each pool has a third of these.
	 */
	record Load(List<QueueLoad> queues, int endpointCount, int sizeStride, long endpointMillicores,
			double taskMillicores, List<Double> speeds, long durationMillis, double scale, List<Burst> bursts,
			Outage outage, boolean callersReturn) {

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
					33, 1, 64_000, 27_000, List.of(0.8, 1.0, 1.25), 30_000, scale,
					List.of(new Burst("", burst, 8_000, 14_000)), Outage.NONE, false);
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
					260, 1, 64_000, 23_000, List.of(1.0), 16_000, scale, List.of(new Burst("", burst, 8_000, 12_000)),
					Outage.NONE, false);
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
					246, 1, 64_000, 32_000, List.of(1 / 0.7, 1 / 0.7, 1 / 1.7), 16_000, scale, List.of(), Outage.NONE,
					false);
		}

		/**
		 * Returns the load of a site of three pools of small endpoints. At a scale of 1
		 * its processor demand is 0.83 of the capacity.
		 * @param scale the factor on all arrival rates
		 * @return the load, without bursts and outage
		 */
		static Load small(double scale) {
			return new Load(
					List.of(new QueueLoad("check", 0, 206 * scale, 8, 32, 60, 1.6, 60, 1_500, 0.00485),
							new QueueLoad("confirm", 2, 37.5 * scale, 4, 16, 900, 1.6, 60, 1_500, 0.0267),
							new QueueLoad("status", 1, 600 * scale, 2, 8, 200, 1.6, 60, 1_500, 0.00167)),
					245, 3, 16_000, 8_000, List.of(1.0), 10_000, scale, List.of(), Outage.NONE, false);
		}

		Load with(long newDurationMillis, List<Burst> newBursts, Outage newOutage) {
			return new Load(this.queues, this.endpointCount, this.sizeStride, this.endpointMillicores,
					this.taskMillicores, this.speeds, newDurationMillis, this.scale, newBursts, newOutage,
					this.callersReturn);
		}

		/**
		 * Lets refused callers submit their jobs again after the delay they were told.
		 * @return the load
		 */
		Load withReturningCallers() {
			return new Load(this.queues, this.endpointCount, this.sizeStride, this.endpointMillicores,
					this.taskMillicores, this.speeds, this.durationMillis, this.scale, this.bursts, this.outage, true);
		}

		/**
		 * Lets callers wait for some time, whatever their queue.
		 * @param budgetMillis the time in milliseconds
		 * @return the load
		 */
		Load withBudget(long budgetMillis) {
			return withQueues(this.queues.stream()
				.map((queue) -> new QueueLoad(queue.name(), queue.priority(), queue.jobsPerSecond(), queue.width(),
						queue.maxWidth(), queue.workMillis(), queue.stretch(), queue.targetLatencyMillis(),
						budgetMillis, queue.jobValue()))
				.toList());
		}

		/**
		 * Gives all queues the same priority.
		 * @param priority the priority
		 * @return the load
		 */
		Load withPriority(int priority) {
			return withQueues(this.queues.stream()
				.map((queue) -> new QueueLoad(queue.name(), priority, queue.jobsPerSecond(), queue.width(),
						queue.maxWidth(), queue.workMillis(), queue.stretch(), queue.targetLatencyMillis(),
						queue.budgetMillis(), queue.jobValue()))
				.toList());
		}

		private Load withQueues(List<QueueLoad> newQueues) {
			return new Load(newQueues, this.endpointCount, this.sizeStride, this.endpointMillicores,
					this.taskMillicores, this.speeds, this.durationMillis, this.scale, this.bursts, this.outage,
					this.callersReturn);
		}

		long cpuMillicores(int index) {
			boolean large = index / this.sizeStride % 3 == 2;
			return large ? this.endpointMillicores * 3 / 2 : this.endpointMillicores;
		}

		/**
		 * Returns the processor capacity of all endpoints.
		 * @return the capacity in thousandths of a core
		 */
		long totalMillicores() {
			return IntStream.range(0, this.endpointCount).mapToLong(this::cpuMillicores).sum();
		}

		double burstFactor(String queue, long atMillis) {
			return this.bursts.stream()
				.filter((burst) -> burst.queue().isEmpty() || burst.queue().equals(queue))
				.filter((burst) -> atMillis >= burst.fromMillis() && atMillis < burst.toMillis())
				.mapToDouble(Burst::factor)
				.reduce(1, (first, second) -> first * second);
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

		private final Map<Double, Boolean> servedBySize = new TreeMap<>();

		private final Map<LateCause, Integer> lateCauses = new EnumMap<>(LateCause.class);

		private void count(Submission submission, JobOutcome outcome, double objectiveMillis, long nowMillis) {
			this.submittedCount++;
			this.kinds.merge(outcome.kind(), 1, Integer::sum);
			QueueLoad queue = submission.queue;
			double size = submission.workMillis * submission.job.taskCount() / (queue.workMillis() * queue.width());
			double jobValue = queue.jobValue() * (0.3 + 0.7 * Math.min(size, 5));
			this.offeredValue += jobValue;
			this.servedBySize.put(size, false);
			double tookMillis = nowMillis - submission.arrivedMillis;
			if (outcome.kind() == JobOutcome.Kind.COMPLETED && tookMillis > objectiveMillis) {
				this.lateCauses.merge(submission.lateCause(objectiveMillis), 1, Integer::sum);
			}
			if (outcome.kind() != JobOutcome.Kind.COMPLETED || tookMillis > 3 * objectiveMillis) {
				return;
			}
			this.servedBySize.put(size, true);
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

		double servedCount() {
			return this.onTimeCount + this.lateCount;
		}

		double valueShare() {
			return this.earnedValue / this.offeredValue;
		}

		/**
		 * Returns how often jobs of some sizes were answered usefully.
		 * @param fromShare the share of smaller jobs
		 * @param toShare the share of jobs up to the largest of these sizes
		 * @return the share of these jobs
		 */
		double servedShare(double fromShare, double toShare) {
			int count = this.servedBySize.size();
			List<Boolean> served = List.copyOf(this.servedBySize.values())
				.subList((int) (fromShare * count), (int) (toShare * count));
			return (double) served.stream().filter((each) -> each).count() / served.size();
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

		private final PoolScheduler scheduler = new PoolScheduler(PoolSettings.defaults(), this, new LossHistory(),
				PoolSimulation.this.admission.get());

		private PoolLoad reportedLoad = new PoolLoad(0, 0, 0, 0);

		private long sentMillicores;

		private Pool(String name) {
			this.name = name;
		}

		private void add(int index) {
			List<Double> speeds = PoolSimulation.this.load.speeds();
			long cpuMillicores = PoolSimulation.this.load.cpuMillicores(index);
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
			Outage outage = PoolSimulation.this.load.outage();
			if (index < PoolSimulation.this.load.endpointCount() * outage.share()) {
				schedule(outage.fromMillis(), () -> cut(endpoint));
				schedule(outage.fromMillis() + LEASE_MILLIS, () -> expire(endpoint));
				schedule(outage.toMillis(), () -> restore(endpoint));
			}
		}

		private void cut(Endpoint endpoint) {
			endpoint.unavailable = true;
			endpoint.runningTasks.clear();
		}

		private void expire(Endpoint endpoint) {
			this.scheduler.endpointUnlisted(endpoint.entry.id(), PoolSimulation.this.nowMillis);
			this.scheduler.leaseExpired(endpoint.entry.id(), PoolSimulation.this.nowMillis);
		}

		private void restore(Endpoint endpoint) {
			endpoint.unavailable = false;
			this.scheduler.endpointListed(endpoint.entry, PoolSimulation.this.nowMillis);
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
					visibleLoad.backlogMillis(), true);
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
			if (!endpoint.unavailable) {
				sendReport(endpoint);
			}
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
			if (endpoint.unavailable) {
				return;
			}
			Submission submission = PoolSimulation.this.submissions.get(run.task().jobId());
			double taskMillis = PoolSimulation.this.variation.isFixedByTask()
					? submission.taskMillis[run.task().index()] : submission.workMillis * runFactor(run);
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
		public void durableRunTerminated(String jobId, TerminationId termination) {
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
		public void jobHeld(PooledJob job, String reason) {
			// The simulated owner has no predecessor.
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

		private boolean unavailable;

		private Endpoint(EndpointEntry entry, double usualSlowness) {
			this.entry = entry;
			this.usualSlowness = usualSlowness;
		}

		private double slowness() {
			return this.usualSlowness * this.disturbance;
		}

	}

}
