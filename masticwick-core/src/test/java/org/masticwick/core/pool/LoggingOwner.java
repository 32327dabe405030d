package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One of several owners of a pool, which store their durable jobs in a log that the tests
 * keep. A write is stored only when the test says so, and is lost with an owner that is
 * killed before.
 */
final class LoggingOwner implements DurableJobActions {

	static final String POOL = "domain";

	static final long EPOCH_MILLIS = 1_700_000_000_000L;

	private static final JobOrigin ORIGIN = new JobOrigin("host-1", 1);

	private final Log log;

	private final RecordedActions actions = new RecordedActions();

	private final PoolScheduler scheduler = new PoolScheduler(PoolSettings.defaults(), this.actions);

	private final DurableJobs jobs;

	private final Map<String, Long> pendingWrites = new HashMap<>();

	private final List<TerminationId> storedTerminations = new ArrayList<>();

	private final Set<String> unreadJobs = new HashSet<>();

	private boolean reading;

	private int pendingRangeCount;

	private long clockOffsetMillis;

	LoggingOwner(Log log) {
		this.log = log;
		this.reading = !log.definitions.isEmpty();
		this.jobs = new DurableJobs(this.scheduler, this);
		this.scheduler.recoveryStatus(new RecoveryStatus() {

			@Override
			public boolean mayBeUnread(String jobId) {
				return LoggingOwner.this.reading || LoggingOwner.this.unreadJobs.contains(jobId);
			}

			@Override
			public boolean isInProgress(String jobId) {
				return mayBeUnread(jobId);
			}

		});
	}

	/**
	 * Sets how far the wall clock of this owner is behind that of the others.
	 * @param millis the offset in milliseconds
	 */
	void clockBehindMillis(long millis) {
		this.clockOffsetMillis = -millis;
	}

	/**
	 * Lets this owner take an unknown job for one that another owner may have to read.
	 * @param jobId the id of the job
	 */
	void mayHaveToRead(String jobId) {
		this.unreadJobs.add(jobId);
	}

	PoolScheduler scheduler() {
		return this.scheduler;
	}

	DurableJobs jobs() {
		return this.jobs;
	}

	RecordedActions actions() {
		return this.actions;
	}

	List<RecordedActions.Start> starts() {
		return this.actions.starts();
	}

	List<TerminationId> storedTerminations() {
		return this.storedTerminations;
	}

	DurableJobs.Timestamp at(long millis) {
		return new DurableJobs.Timestamp(millis, EPOCH_MILLIS + millis + this.clockOffsetMillis);
	}

	void submit(JobSpec job, long nowMillis) {
		this.jobs.submit(POOL, job, terms(), ORIGIN, at(nowMillis));
	}

	static JobTerms terms() {
		return new JobTerms("queue", "service", 0, 2, 1.6, 60, 5_000, 3);
	}

	/**
	 * Reads the jobs of previous owners from the log. Nothing starts until
	 * {@link #resume}.
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void read(long nowMillis) {
		this.reading = false;
		this.jobs.recoverRunNumbers(POOL, this.log.rangeCount);
		this.log.progress.forEach((jobId, progress) -> this.jobs.recover(POOL,
				new DurableJob(this.log.definitions.get(jobId), terms(), EPOCH_MILLIS), progress, at(nowMillis)));
		forward(nowMillis);
	}

	void resume(long nowMillis) {
		this.jobs.setSuspended(POOL, false, at(nowMillis));
		tick(nowMillis);
	}

	void tick(long nowMillis) {
		this.jobs.tick(at(nowMillis));
		this.scheduler.tick(nowMillis);
	}

	/**
	 * Lets an endpoint report.
	 * @param endpoint the endpoint
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void hear(ListingEndpoint endpoint, long nowMillis) {
		this.scheduler.endpointReported(endpoint.id(), endpoint.report(nowMillis), nowMillis - 1, nowMillis);
		forward(nowMillis);
	}

	/**
	 * Executes what the scheduler has decided, as the owner of a pool does.
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void forward(long nowMillis) {
		List<RecordedActions.DurableTermination> terminations = List.copyOf(this.actions.durableTerminations());
		this.actions.durableTerminations().clear();
		terminations.forEach((each) -> this.jobs.runTerminated(each.jobId(), each.termination(), at(nowMillis)));
	}

	/**
	 * Handles the jobs that have finished, which the owner of a pool does after its
	 * present event, so that an append may come before.
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void finishJobs(long nowMillis) {
		List<RecordedActions.AnsweredJob> answered = List.copyOf(this.actions.answeredJobs());
		this.actions.answeredJobs().clear();
		answered.forEach((answer) -> this.jobs.occurrenceFinished(answer.job(), answer.outcome(), at(nowMillis)));
	}

	/**
	 * Stores all pending writes.
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void store(long nowMillis) {
		Map<String, Long> writes = Map.copyOf(this.pendingWrites);
		this.pendingWrites.clear();
		if (this.pendingRangeCount > this.log.rangeCount) {
			this.log.rangeCount = this.pendingRangeCount;
			this.jobs.runNumbersStored(POOL, this.log.rangeCount);
		}
		writes.forEach((jobId, revision) -> {
			this.log.progress.put(jobId, this.jobs.progress(jobId).orElseThrow());
			this.jobs.progressStored(jobId, revision, at(nowMillis));
		});
	}

	long acknowledged(ListingEndpoint endpoint) {
		return this.scheduler.acknowledgedTerminationNumber(endpoint.id());
	}

	@Override
	public void writeDefinition(String pool, DurableJob job) {
		this.log.definitions.put(job.spec().jobId(), job.spec());
	}

	@Override
	public void writeProgress(String pool, String jobId, long revision) {
		this.pendingWrites.put(jobId, revision);
	}

	@Override
	public void reserveRunNumbers(String pool, int rangeCount) {
		this.pendingRangeCount = rangeCount;
	}

	@Override
	public void remove(String pool, String jobId, boolean includingProgress) {
		// The log of the tests keeps everything.
	}

	@Override
	public void terminationStored(TerminationId termination) {
		this.storedTerminations.add(termination);
		this.scheduler.terminationStored(termination);
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

	/**
	 * What is stored of the jobs.
	 */
	static final class Log {

		private final Map<String, JobSpec> definitions = new HashMap<>();

		private final Map<String, DurableProgress> progress = new HashMap<>();

		private int rangeCount;

		DurableProgress progress(String jobId) {
			return this.progress.get(jobId);
		}

	}

}
