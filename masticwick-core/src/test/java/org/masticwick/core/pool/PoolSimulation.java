package org.masticwick.core.pool;

import java.util.ArrayList;
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
 * Plays a load against the schedulers of some pools, on a virtual clock: arrivals,
 * widths, run times, wrong estimates and speeds of endpoints as on the users' sites.
 * Entry hosts see the load of other pools with a delay. There is no network and nothing
 * fails.
 */
final class PoolSimulation {

	/** How often owners tell their load, in milliseconds. */
	private static final long REPORT_MILLIS = 125;

	private static final long TICK_MILLIS = 50;

	private static final long RENEW_MILLIS = 150;

	/** One hop between entry hosts and one call to an endpoint, in milliseconds. */
	private static final long HOP_MILLIS = 2;

	private static final int MAX_POOLS_TRIED = 2;

	private final Load load;

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));

	private final List<Pool> pools = new ArrayList<>();

	private final Map<String, Submission> submissions = new HashMap<>();

	private final PoolSelector choice = new PoolSelector();

	private final Map<String, Result> results = new HashMap<>();

	private long nowMillis;

	private long nextSequence;

	private double wastedWork;

	PoolSimulation(Load load, int poolCount, long seed) {
		this.load = load;
		this.random = new Random(seed);
		for (int index = 0; index < poolCount; index++) {
			this.pools.add(new Pool("pool-" + index));
		}
		for (int index = 0; index < load.endpointCount(); index++) {
			this.pools.get(index % poolCount).add(index);
		}
	}

	Map<String, Result> run() {
		this.load.queues().forEach((queue) -> at(gapMillis(queue), () -> arrive(queue)));
		this.pools.forEach((pool) -> {
			at(0, pool::tick);
			at(0, pool::report);
		});
		while (!this.events.isEmpty() && this.events.peek().atMillis() < this.load.lengthMillis() + 10_000) {
			Event event = this.events.poll();
			this.nowMillis = event.atMillis();
			event.action().run();
		}
		return this.results;
	}

	double wastedWork() {
		return this.wastedWork;
	}

	private void at(double delayMillis, Runnable action) {
		long atMillis = this.nowMillis + Math.max(0, Math.round(delayMillis));
		this.events.add(new Event(atMillis, this.nextSequence++, action));
	}

	private double gapMillis(QueueLoad queue) {
		double burst = this.load.burstFactor(this.nowMillis);
		return -Math.log(1 - this.random.nextDouble()) * 1_000 / (queue.perSecond() * burst);
	}

	private double spread(double sigma) {
		return Math.exp(this.random.nextGaussian() * sigma - sigma * sigma / 2);
	}

	private void arrive(QueueLoad queue) {
		if (this.nowMillis > this.load.lengthMillis()) {
			return;
		}
		at(gapMillis(queue), () -> arrive(queue));
		int width = (int) Math.max(1, Math.min(queue.maxWidth(), Math.round(queue.width() * spread(0.4))));
		double workMillis = Math.min(queue.workMillis() * 4, queue.workMillis() * spread(0.4));
		long cpuMillicores = (long) Math.min(41_000, 27_000 * spread(0.2));
		long estimatedMillis = Math.max(1, Math.round(workMillis * spread(0.4)));
		String jobId = "job-" + this.submissions.size();
		StepSpec step = new StepSpec(width, new Resources(cpuMillicores, 64, 0), estimatedMillis, List.of(), "", "", 0);
		Submission submission = new Submission(new JobSpec(jobId, "", List.of(step)), queue, workMillis, this.nowMillis,
				this.random.nextInt(this.pools.size()));
		this.submissions.put(jobId, submission);
		send(submission);
	}

	private void send(Submission submission) {
		List<PoolSelector.Candidate> candidates = this.pools.stream()
			.map((pool) -> pool.candidate(submission.domain))
			.toList();
		long needed = submission.job.taskCount() * submission.job.steps().get(0).demand().cpuMillicores();
		PoolSelector.Candidate chosen = this.choice.select(candidates, needed, submission.tried).orElseThrow();
		submission.tried.add(chosen.pool());
		Pool pool = this.pools.stream().filter((each) -> each.name.equals(chosen.pool())).findFirst().orElseThrow();
		pool.sentMillicores += needed;
		QueueLoad queue = submission.queue;
		long budgetMillis = submission.arrivedMillis + queue.budgetMillis() - this.nowMillis;
		JobTerms terms = new JobTerms(queue.name(), "service", queue.priority(), 3, queue.stretch(),
				queue.targetLatencyMillis(), budgetMillis, 1);
		at(HOP_MILLIS, () -> pool.scheduler.submit(submission.job, terms, new JobOrigin("host", 0), this.nowMillis));
	}

	private void answered(PooledJob job, JobOutcome outcome) {
		Submission submission = this.submissions.get(job.spec().jobId());
		boolean again = outcome.kind() == JobOutcome.Kind.REFUSED
				&& submission.tried.size() < Math.min(MAX_POOLS_TRIED, this.pools.size());
		if (again) {
			at(HOP_MILLIS, () -> send(submission));
			return;
		}
		Result result = this.results.computeIfAbsent(submission.queue.name(), (name) -> new Result());
		result.count(submission, outcome, this.nowMillis);
	}

	private record Event(long atMillis, long sequence, Runnable action) {
	}

	/**
	 * A queue and its arrivals.
	 */
	record QueueLoad(String name, int priority, double perSecond, double width, int maxWidth, double workMillis,
			double stretch, long targetLatencyMillis, long budgetMillis, double worth) {
	}

	/**
	 * A site and its load.
	 */
	record Load(List<QueueLoad> queues, int endpointCount, long lengthMillis, double scale, double burst,
			long burstFromMillis, long burstToMillis) {

		/**
		 * The mix of both users, at some share of what their standard days bring.
		 * @param scale the factor on all arrivals
		 * @param burst the factor during the burst
		 * @return the load
		 */
		static Load mix(double scale, double burst) {
			return new Load(
					List.of(new QueueLoad("check", 0, 24.1 * scale, 8, 32, 60, 1.6, 60, 4_000, 0.0291),
							new QueueLoad("confirm", 2, 4.37 * scale, 4, 16, 900, 1.6, 60, 6_000, 0.16),
							new QueueLoad("status", 1, 70 * scale, 2, 8, 200, 1.6, 60, 4_000, 0.01)),
					33, 30_000, scale, burst, 8_000, 14_000);
		}

		double burstFactor(long atMillis) {
			return (atMillis >= this.burstFromMillis && atMillis < this.burstToMillis) ? this.burst : 1;
		}

	}

	/**
	 * What became of the jobs of a queue.
	 */
	static final class Result {

		private final Map<JobOutcome.Kind, Integer> kinds = new EnumMap<>(JobOutcome.Kind.class);

		private int askedCount;

		private int inAimCount;

		private int lateCount;

		private double earned;

		private double owed;

		private void count(Submission submission, JobOutcome outcome, long nowMillis) {
			this.askedCount++;
			this.kinds.merge(outcome.kind(), 1, Integer::sum);
			QueueLoad queue = submission.queue;
			double size = submission.workMillis * submission.job.taskCount() / (queue.workMillis() * queue.width());
			double worth = queue.worth() * (0.3 + 0.7 * Math.min(size, 5));
			this.owed += worth;
			double objectiveMillis = queue.stretch() * submission.workMillis + queue.targetLatencyMillis();
			double tookMillis = nowMillis - submission.arrivedMillis;
			if (outcome.kind() != JobOutcome.Kind.COMPLETED || tookMillis > 3 * objectiveMillis) {
				return;
			}
			boolean inAim = tookMillis <= objectiveMillis;
			this.inAimCount += inAim ? 1 : 0;
			this.lateCount += inAim ? 0 : 1;
			this.earned += inAim ? worth : worth / 5;
		}

		int askedCount() {
			return this.askedCount;
		}

		double inAimShare() {
			return (double) this.inAimCount / this.askedCount;
		}

		double lateShare() {
			return (double) this.lateCount / this.askedCount;
		}

		double share(JobOutcome.Kind kind) {
			return (double) this.kinds.getOrDefault(kind, 0) / this.askedCount;
		}

		double earned() {
			return this.earned;
		}

		double owed() {
			return this.owed;
		}

	}

	private static final class Submission {

		private final JobSpec job;

		private final QueueLoad queue;

		private final double workMillis;

		private final long arrivedMillis;

		private final int domain;

		private final Set<String> tried = new HashSet<>();

		private Submission(JobSpec job, QueueLoad queue, double workMillis, long arrivedMillis, int domain) {
			this.job = job;
			this.queue = queue;
			this.workMillis = workMillis;
			this.arrivedMillis = arrivedMillis;
			this.domain = domain;
		}

	}

	/**
	 * A pool, its scheduler and its endpoints.
	 */
	private final class Pool implements PoolActions {

		private final String name;

		private final Map<String, Endpoint> endpoints = new HashMap<>();

		private final PoolScheduler scheduler = new PoolScheduler(PoolSettings.defaults(), this);

		private PoolLoad told = new PoolLoad(0, 0, 0, 0);

		private long sentMillicores;

		private Pool(String name) {
			this.name = name;
		}

		private void add(int index) {
			double[] speeds = { 0.8, 1, 1.25 };
			long cpuMillicores = (index % 3 == 2) ? 96_000 : 64_000;
			EndpointEntry entry = new EndpointEntry("endpoint-" + index, "service",
					new HostAddress("10.0.0.1", 1_000 + index), "domain", true,
					new Resources(cpuMillicores, 131_072, 0), Set.of(), 1);
			Endpoint endpoint = new Endpoint(entry, speeds[PoolSimulation.this.random.nextInt(speeds.length)]);
			this.endpoints.put(entry.id(), endpoint);
			this.scheduler.endpointListed(entry, 0);
			at(0, () -> renew(endpoint));
		}

		private PoolSelector.Candidate candidate(int domain) {
			boolean local = this.name.equals("pool-" + domain);
			PoolLoad seen = local ? this.scheduler.load(PoolSimulation.this.nowMillis) : this.told;
			long sent = local ? 0 : this.sentMillicores;
			return new PoolSelector.Candidate(this.name, local, false, seen.freeMillicores() - sent,
					seen.backlogMillis());
		}

		private void tick() {
			this.scheduler.tick(PoolSimulation.this.nowMillis);
			at(TICK_MILLIS, this::tick);
		}

		private void report() {
			this.told = this.scheduler.load(PoolSimulation.this.nowMillis);
			this.sentMillicores = 0;
			at(REPORT_MILLIS, this::report);
		}

		private void renew(Endpoint endpoint) {
			tell(endpoint);
			at(RENEW_MILLIS, () -> renew(endpoint));
		}

		private void tell(Endpoint endpoint) {
			long now = PoolSimulation.this.nowMillis;
			List<RunningTask> running = endpoint.running.entrySet()
				.stream()
				.map((each) -> new RunningTask(each.getKey(), each.getValue().percent(now)))
				.toList();
			List<TerminatedRun> ended = List.copyOf(endpoint.ended);
			endpoint.ended.clear();
			this.scheduler.endpointReported(endpoint.entry.id(), new EndpointReport(1, now, running, ended), now - 1,
					now);
		}

		@Override
		public void start(EndpointEntry entry, TaskRun run, String payload, String checkpoint) {
			Endpoint endpoint = this.endpoints.get(entry.id());
			at(1, () -> begin(endpoint, run));
		}

		private void begin(Endpoint endpoint, TaskRun run) {
			Submission submission = PoolSimulation.this.submissions.get(run.task().jobId());
			double runMillis = submission.workMillis * spread(0.15) * endpoint.slowness;
			endpoint.running.put(run, new Running(PoolSimulation.this.nowMillis, runMillis));
			this.scheduler.startAccepted(endpoint.entry.id(), run, PoolSimulation.this.nowMillis);
			at(runMillis, () -> end(endpoint, run, TerminationKind.DONE));
		}

		private void end(Endpoint endpoint, TaskRun run, TerminationKind kind) {
			Running running = endpoint.running.remove(run);
			if (running == null) {
				return;
			}
			if (kind != TerminationKind.DONE) {
				PoolSimulation.this.wastedWork += PoolSimulation.this.nowMillis - running.beganMillis();
			}
			endpoint.endCount++;
			endpoint.ended.add(new TerminatedRun(endpoint.endCount, run, kind));
			tell(endpoint);
		}

		@Override
		public void stop(EndpointEntry entry, TaskRun run, String reason) {
			Endpoint endpoint = this.endpoints.get(entry.id());
			at(1, () -> end(endpoint, run, TerminationKind.STOPPED));
		}

		@Override
		public void durableRunTerminated(PooledJob job, TerminationId end) {
			throw new IllegalStateException("no durable jobs are played");
		}

		@Override
		public void orphanedRunTerminated(TerminationId end, TerminatedRun ended) {
			throw new IllegalStateException("no durable jobs are played");
		}

		@Override
		public void answer(PooledJob job, JobOutcome outcome) {
			at(HOP_MILLIS, () -> answered(job, outcome));
		}

	}

	private record Running(long beganMillis, double runMillis) {

		private int percent(long nowMillis) {
			return (int) Math.min(99, (nowMillis - this.beganMillis) * 100 / Math.max(1, this.runMillis));
		}

	}

	private static final class Endpoint {

		private final EndpointEntry entry;

		private final double slowness;

		private final Map<TaskRun, Running> running = new HashMap<>();

		private final List<TerminatedRun> ended = new ArrayList<>();

		private long endCount;

		private Endpoint(EndpointEntry entry, double slowness) {
			this.entry = entry;
			this.slowness = slowness;
		}

	}

}
