package org.masticwick.core.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An owner of a pool with its scheduler, its durable jobs and simulated endpoints. The
 * shared log is played too: it stores each write at once.
 */
final class SimulatedOwner {

	static final String POOL = "domain";

	static final JobOrigin ORIGIN = new JobOrigin("host-1", 1);

	private static final long EPOCH_MILLIS = 1_700_000_000_000L;

	private static final long STEP_MILLIS = 10;

	private final RecordedActions actions = new RecordedActions();

	private final LossHistory lossHistory;

	private final PoolScheduler scheduler;

	private final DurableJobs durableJobs;

	private final SimulatedEndpoints endpoints;

	private final StoredWrites writes = new StoredWrites();

	private int forwardedLossCount;

	/**
	 * Creates an owner of idle endpoints.
	 * @param endpointCount the number of endpoints
	 */
	SimulatedOwner(int endpointCount) {
		this.lossHistory = new LossHistory();
		this.scheduler = new PoolScheduler(PoolSettings.defaults(), this.actions, this.lossHistory);
		this.durableJobs = new DurableJobs(this.scheduler, this.writes);
		this.endpoints = new SimulatedEndpoints(this.scheduler, this.actions, endpointCount);
	}

	/**
	 * Creates an owner that takes over the endpoints of a previous one.
	 * @param endpoints the endpoints
	 * @param lossHistory what the new owner knows of losses of endpoints
	 */
	SimulatedOwner(SimulatedEndpoints endpoints, LossHistory lossHistory) {
		this.lossHistory = lossHistory;
		this.scheduler = new PoolScheduler(PoolSettings.defaults(), this.actions, lossHistory);
		this.durableJobs = new DurableJobs(this.scheduler, this.writes);
		this.endpoints = endpoints;
		endpoints.changeOwner(this.scheduler, this.actions);
	}

	RecordedActions actions() {
		return this.actions;
	}

	LossHistory lossHistory() {
		return this.lossHistory;
	}

	PoolScheduler scheduler() {
		return this.scheduler;
	}

	DurableJobs durableJobs() {
		return this.durableJobs;
	}

	SimulatedEndpoints endpoints() {
		return this.endpoints;
	}

	long nowMillis() {
		return this.endpoints.nowMillis();
	}

	private DurableJobs.Timestamp now() {
		return new DurableJobs.Timestamp(nowMillis(), EPOCH_MILLIS + nowMillis());
	}

	/**
	 * Submits a job whose caller waits for the answer.
	 * @param spec the job
	 * @param budgetMillis how long the caller waits, in milliseconds
	 */
	void submit(JobSpec spec, long budgetMillis) {
		this.scheduler.submit(spec, terms(budgetMillis), ORIGIN, nowMillis());
	}

	/**
	 * Submits a durable job.
	 * @param spec the job
	 */
	void submitDurable(JobSpec spec) {
		this.durableJobs.submit(POOL, spec, terms(1_500), ORIGIN, now());
		forward();
	}

	/**
	 * Continues a durable job of a previous owner.
	 * @param spec the job
	 * @param progress its progress as read from the log
	 */
	void recover(JobSpec spec, DurableProgress progress) {
		this.durableJobs.recover(POOL, new DurableJob(spec, terms(1_500), EPOCH_MILLIS), progress, now());
		this.durableJobs.setSuspended(POOL, false, now());
		forward();
	}

	static JobTerms terms(long budgetMillis) {
		return new JobTerms("queue", "service", 0, 2, 1.6, 60, budgetMillis, 3);
	}

	/**
	 * Plays some time.
	 * @param millis the time in milliseconds
	 */
	void play(long millis) {
		long endMillis = nowMillis() + millis;
		while (nowMillis() < endMillis) {
			this.endpoints.play(STEP_MILLIS);
			forward();
		}
	}

	private void forward() {
		this.actions.durableTerminations()
			.forEach((each) -> this.durableJobs.runTerminated(each.jobId(), each.termination(), now()));
		this.actions.durableTerminations().clear();
		List<TaskLoss> losses = this.actions.taskLosses();
		losses.subList(this.forwardedLossCount, losses.size())
			.forEach((loss) -> this.durableJobs.taskLossChanged(loss, now()));
		this.forwardedLossCount = losses.size();
		this.actions.answeredJobs()
			.stream()
			.filter((answer) -> answer.job().spec().durable())
			.forEach((answer) -> this.durableJobs.occurrenceFinished(answer.job(), answer.outcome(), now()));
		this.actions.answeredJobs().clear();
		this.writes.confirm();
	}

	/**
	 * Returns the outcomes of a job whose caller waits.
	 * @param jobId the id of the job
	 * @return the outcomes, in the order of the answers
	 */
	List<JobOutcome.Kind> outcomes(String jobId) {
		return this.actions.answers()
			.stream()
			.filter((answer) -> answer.jobId().equals(jobId))
			.map((answer) -> answer.outcome().kind())
			.toList();
	}

	/**
	 * Stores all writes at once.
	 */
	private final class StoredWrites implements DurableJobActions {

		private final Map<String, Long> revisions = new HashMap<>();

		private int rangeCount;

		private void confirm() {
			SimulatedOwner.this.durableJobs.runNumbersStored(POOL, this.rangeCount);
			Map<String, Long> written = Map.copyOf(this.revisions);
			this.revisions.clear();
			written
				.forEach((jobId, revision) -> SimulatedOwner.this.durableJobs.progressStored(jobId, revision, now()));
		}

		@Override
		public void writeDefinition(String pool, DurableJob job) {
			// Tests pass the definition to the next owner.
		}

		@Override
		public void writeProgress(String pool, String jobId, long revision) {
			this.revisions.put(jobId, revision);
		}

		@Override
		public void terminationStored(TerminationId termination) {
			SimulatedOwner.this.scheduler.terminationStored(termination);
		}

		@Override
		public void reserveRunNumbers(String pool, int rangeCount) {
			this.rangeCount = rangeCount;
		}

		@Override
		public void remove(String pool, String jobId, boolean progressToo) {
			// The log of the tests keeps everything.
		}

		@Override
		public void answer(JobOrigin origin, String jobId, JobOutcome outcome) {
			// The tests ask for the status.
		}

		@Override
		public void writeEarlyCancellation(String pool, String jobId, long cancelledEpochMillis) {
			// No test cancels an unknown job.
		}

		@Override
		public void removeEarlyCancellation(String pool, String jobId) {
			// No test cancels an unknown job.
		}

		@Override
		public void answerCancellation(String jobId) {
			// The tests ask for the status.
		}

	}

}
