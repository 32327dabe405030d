package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Manages the durable jobs of the pools of one owner, which must finish even if hosts are
 * lost. A job is accepted when it is stored in the shared log, its occurrences run when
 * they are due, and its final state is returned once that is stored in the shared log
 * too.
 * <p>
 * Not thread-safe: all calls must come from one thread and pass monotonic times.
 */
public final class DurableJobs {

	/**
	 * The time for which the state of a finished job can be queried, in milliseconds.
	 */
	private static final long FINISHED_RETENTION_MILLIS = 150_000;

	/**
	 * The number of unfinished occurrences of a job up to which the next due one starts.
	 * The start of 30,000 occurrences at once took 46 s.
	 */
	private static final int MAX_OPEN_OCCURRENCES = 1_000;

	/**
	 * The number of tasks of a job's unfinished occurrences up to which the next due one
	 * starts; many times the task count of the largest job to be supported, which is 560.
	 */
	private static final long MAX_OPEN_TASKS = 10_000;

	/** The interval at which expired finished jobs are removed, in milliseconds. */
	private static final long SWEEP_INTERVAL_MILLIS = 1_000;

	private final OccurrenceScheduler scheduler;

	private final DurableJobActions actions;

	private final DurableJobLookup lookup = new Lookup();

	private final Map<String, Entry> entries = new HashMap<>();

	/** Pools whose jobs are suspended: none of their tasks is started. */
	private final Set<String> suspendedPools = new HashSet<>();

	private final Map<String, RunNumbers> runNumbersByPool = new HashMap<>();

	private long nextSweepMillis = Long.MIN_VALUE / 2;

	private Timestamp tickTime = new Timestamp(0, 0);

	/**
	 * Creates an instance without jobs.
	 * @param scheduler runs the occurrences of the jobs
	 * @param actions stores the jobs and answers callers
	 */
	public DurableJobs(PoolScheduler scheduler, DurableJobActions actions) {
		this.scheduler = scheduler.occurrences();
		this.scheduler.durableJobs(this.lookup);
		this.actions = actions;
	}

	/**
	 * Admits a job or refuses it. An admitted job is answered as accepted when it is
	 * stored in the shared log.
	 * @param pool the pool that the job is assigned to
	 * @param spec the job
	 * @param terms the terms of the queue of the job
	 * @param origin the entry host and the call that wait for the answer
	 * @param time the current time
	 */
	public void submit(String pool, JobSpec spec, JobTerms terms, JobOrigin origin, Timestamp time) {
		Entry existing = this.entries.get(spec.jobId());
		if (existing != null) {
			attach(existing, origin);
			return;
		}
		Optional<JobOutcome> refusal = this.scheduler.checkAdmission(spec, terms, time.nowMillis());
		if (refusal.isPresent()) {
			this.actions.answer(origin, spec.jobId(), refusal.get());
			return;
		}
		Entry entry = new Entry(pool, new DurableJob(spec, terms, time.epochMillis()));
		entry.runNumbers = runNumbers(pool).ofNewJob();
		entry.waitingOrigins.add(origin);
		entry.suspended = this.suspendedPools.contains(pool);
		this.entries.put(spec.jobId(), entry);
		this.actions.writeDefinition(pool, entry.job);
		writeProgress(entry, DurableState.ACTIVE, time);
	}

	private void attach(Entry entry, JobOrigin origin) {
		if (entry.isAccepted()) {
			this.actions.answer(origin, entry.jobId(), accepted());
		}
		else {
			entry.waitingOrigins.add(origin);
		}
	}

	private static JobOutcome accepted() {
		return JobOutcome.of(JobOutcome.Kind.ACCEPTED, "stored");
	}

	private void writeProgress(Entry entry, DurableState state, Timestamp time) {
		if (entry.state != state) {
			entry.stateChangedEpochMillis = time.epochMillis();
		}
		entry.state = state;
		entry.revision++;
		this.actions.writeProgress(entry.pool, entry.jobId(), entry.revision);
	}

	/**
	 * Records that the progress of a job is stored in the shared log.
	 * @param jobId the id of the job
	 * @param revision the stored revision of the progress
	 * @param time the current time
	 */
	public void progressStored(String jobId, long revision, Timestamp time) {
		Entry entry = this.entries.get(jobId);
		if (entry == null) {
			return;
		}
		boolean newlyAccepted = !entry.isAccepted();
		entry.storedRevision = Math.max(entry.storedRevision, revision);
		List<PendingTermination> storedTerminations = entry.pendingTerminations.stream()
			.filter((termination) -> termination.revision() <= revision)
			.toList();
		entry.pendingTerminations.removeAll(storedTerminations);
		storedTerminations.forEach((termination) -> this.actions.terminationStored(termination.termination()));
		if (newlyAccepted) {
			entry.waitingOrigins.forEach((origin) -> this.actions.answer(origin, jobId, accepted()));
			entry.waitingOrigins.clear();
			startDueOccurrences(entry, time);
		}
		if (entry.state != DurableState.ACTIVE && entry.revision == revision && !entry.finished) {
			markFinished(entry);
		}
	}

	private void markFinished(Entry entry) {
		entry.finished = true;
		entry.job = finishedJob(entry.jobId(), entry.stateChangedEpochMillis);
		this.actions.remove(entry.pool, entry.jobId(), false);
		this.actions.answerCancellation(entry.jobId());
	}

	private void startDueOccurrences(Entry entry, Timestamp time) {
		JobSchedule schedule = entry.job.spec().schedule();
		while (entry.state == DurableState.ACTIVE && entry.nextOccurrence < schedule.count()
				&& entry.isDue(entry.nextOccurrence, time) && entry.mayOpenOccurrence()) {
			startOccurrence(entry, entry.nextOccurrence, List.of(), time);
			entry.nextOccurrence++;
		}
	}

	private void resumeDueOccurrences(Entry entry, Timestamp time) {
		List<Integer> due = entry.earlyOccurrences.stream()
			.filter((occurrence) -> entry.isDue(occurrence, time))
			.toList();
		due.forEach((occurrence) -> {
			entry.earlyOccurrences.remove(occurrence);
			Optional.ofNullable(entry.occurrences.get(occurrence))
				.ifPresent((job) -> this.scheduler.setSuspended(job, entry.suspended, time.nowMillis()));
		});
	}

	private void startOccurrence(Entry entry, int occurrence, List<TaskProgress> storedProgress, Timestamp time) {
		if (!entry.isDue(occurrence, time)) {
			entry.earlyOccurrences.add(occurrence);
		}
		long delayMillis = Math.max(0, time.epochMillis() - entry.dueEpochMillis(occurrence));
		PooledJob occurrenceJob = this.scheduler.start(entry.job, occurrence, storedProgress, entry.runNumbers,
				entry.isSuspended(occurrence), time.nowMillis() - delayMillis, time.nowMillis());
		entry.occurrences.put(occurrence, occurrenceJob);
	}

	/**
	 * Records that an occurrence has finished.
	 * @param job the occurrence
	 * @param outcome the outcome of the occurrence
	 * @param time the current time
	 */
	public void occurrenceFinished(PooledJob job, JobOutcome outcome, Timestamp time) {
		Entry entry = this.entries.get(job.spec().jobId());
		if (entry == null || entry.state != DurableState.ACTIVE) {
			return;
		}
		if (outcome.kind() == JobOutcome.Kind.FAILED) {
			abortOccurrences(entry, "another-occurrence-failed", time);
			writeProgress(entry, DurableState.FAILED, time);
		}
		else if (outcome.kind() == JobOutcome.Kind.COMPLETED) {
			entry.completed.add(job.occurrence());
			entry.occurrences.remove(job.occurrence());
			boolean allCompleted = entry.completed.size() == entry.job.spec().schedule().count();
			writeProgress(entry, allCompleted ? DurableState.COMPLETED : DurableState.ACTIVE, time);
		}
	}

	/**
	 * Records the termination of a run. The endpoint keeps the termination until it is
	 * stored in the shared log.
	 * @param jobId the id of the job
	 * @param termination the termination
	 * @param time the current time
	 */
	public void runTerminated(String jobId, TerminationId termination, Timestamp time) {
		Entry entry = this.entries.get(jobId);
		if (entry == null) {
			this.scheduler.forwardTermination(termination);
		}
		else {
			entry.pendingTerminations.add(new PendingTermination(entry.revision + 1, termination));
			writeProgress(entry, entry.state, time);
		}
	}

	/**
	 * Stores a loss of an endpoint under a task of a durable job, or what has become
	 * known of it.
	 * @param loss the loss
	 * @param time the current time
	 */
	public void taskLossChanged(TaskLoss loss, Timestamp time) {
		Entry entry = this.entries.get(loss.run().task().jobId());
		if (entry != null && entry.state == DurableState.ACTIVE) {
			writeProgress(entry, entry.state, time);
		}
	}

	/**
	 * Records the termination of a run on an endpoint of another owner.
	 * @param termination the termination, which is passed to
	 * {@link DurableJobActions#terminationStored} once it is stored in the shared log
	 * @param terminatedRun the terminated run
	 * @param time the current time
	 * @return whether the termination will be stored; false if the job is unknown
	 */
	public boolean orphanedRunTerminated(TerminationId termination, TerminatedRun terminatedRun, Timestamp time) {
		String jobId = terminatedRun.run().task().jobId();
		if (!this.entries.containsKey(jobId)) {
			return false;
		}
		this.scheduler.recordRemoteTermination(terminatedRun, time.nowMillis());
		runTerminated(jobId, termination, time);
		return true;
	}

	/**
	 * Returns whether a task is of an occurrence that can't be opened yet, so that the
	 * end of its run can't be recorded.
	 * @param task the id of the task
	 * @return whether the end has to be reported again later
	 */
	public boolean isUnopened(TaskId task) {
		return this.lookup.openOccurrence(task.jobId(), task.occurrence()).isEmpty()
				&& this.lookup.isUnopened(task.jobId(), task.occurrence());
	}

	/**
	 * Cancels a job. {@link DurableJobActions#answerCancellation} is called when the
	 * cancellation is stored in the shared log.
	 * @param jobId the id of the job
	 * @param time the current time
	 * @return whether the job is known here
	 */
	public boolean cancel(String jobId, Timestamp time) {
		Entry entry = this.entries.get(jobId);
		if (entry == null) {
			return false;
		}
		if (entry.state == DurableState.ACTIVE) {
			abortOccurrences(entry, "cancelled", time);
			writeProgress(entry, DurableState.CANCELLED, time);
		}
		else if (entry.finished) {
			this.actions.answerCancellation(jobId);
		}
		return true;
	}

	private void abortOccurrences(Entry entry, String reason, Timestamp time) {
		List<PooledJob> running = List.copyOf(entry.occurrences.values());
		running.forEach((job) -> this.scheduler.abort(job, reason, time.nowMillis()));
	}

	private RunNumbers runNumbers(String pool) {
		return this.runNumbersByPool.computeIfAbsent(pool, (name) -> new RunNumbers(0));
	}

	/**
	 * Recovers which run numbers the previous owners of a pool may have used. Must be
	 * called before the jobs of the pool are recovered.
	 * @param pool the pool
	 * @param rangeCount the number of reserved ranges that was stored last, or 0
	 */
	public void recoverRunNumbers(String pool, int rangeCount) {
		this.runNumbersByPool.put(pool, new RunNumbers(rangeCount));
	}

	/**
	 * Records that a reservation of run numbers is stored in the shared log.
	 * @param pool the pool
	 * @param rangeCount the number of reserved ranges
	 */
	public void runNumbersStored(String pool, int rangeCount) {
		Optional.ofNullable(this.runNumbersByPool.get(pool)).ifPresent((numbers) -> numbers.stored(rangeCount));
	}

	/**
	 * Recovers an active or finished job that a previous owner of the pool accepted, and
	 * suspends the pool.
	 * @param pool the pool
	 * @param job the job
	 * @param progress the stored progress of the job
	 * @param time the current time
	 */
	public void recover(String pool, DurableJob job, DurableProgress progress, Timestamp time) {
		this.tickTime = time;
		Entry entry = new Entry(pool, job);
		entry.state = progress.state();
		entry.stateChangedEpochMillis = progress.stateChangedEpochMillis();
		entry.storedRevision = 1;
		entry.revision = 1;
		entry.suspended = true;
		this.suspendedPools.add(pool);
		this.entries.put(job.spec().jobId(), entry);
		if (entry.state != DurableState.ACTIVE) {
			markFinished(entry);
			return;
		}
		entry.runNumbers = runNumbers(pool).ofRecoveredJob();
		progress.occurrences().forEach((occurrence) -> recover(entry, occurrence, time));
		startDueOccurrences(entry, time);
	}

	private void recover(Entry entry, OccurrenceProgress occurrence, Timestamp time) {
		while (entry.nextOccurrence < occurrence.occurrence()) {
			startOccurrence(entry, entry.nextOccurrence, List.of(), time);
			entry.nextOccurrence++;
		}
		entry.nextOccurrence = occurrence.occurrence() + 1;
		if (occurrence.completed()) {
			entry.completed.add(occurrence.occurrence());
		}
		else {
			startOccurrence(entry, occurrence.occurrence(), occurrence.tasks(), time);
		}
	}

	/**
	 * Recovers a finished job of which only the final state is stored.
	 * @param pool the pool
	 * @param jobId the id of the job
	 * @param progress the stored final state
	 */
	public void recoverFinished(String pool, String jobId, DurableProgress progress) {
		Entry entry = new Entry(pool, finishedJob(jobId, progress.stateChangedEpochMillis()));
		entry.state = progress.state();
		entry.stateChangedEpochMillis = progress.stateChangedEpochMillis();
		entry.storedRevision = 1;
		entry.revision = 1;
		entry.finished = true;
		this.entries.put(jobId, entry);
	}

	// Of a finished job only the state can be queried, so its specification is not kept
	// in memory.
	private static DurableJob finishedJob(String jobId, long finishedEpochMillis) {
		return new DurableJob(new JobSpec(jobId, "", List.of(), true, JobSchedule.IMMEDIATE), null,
				finishedEpochMillis);
	}

	/**
	 * Suspends or resumes the jobs of a pool. No task of a suspended job is started.
	 * @param pool the pool
	 * @param suspended whether the jobs are suspended
	 * @param time the current time
	 */
	public void setSuspended(String pool, boolean suspended, Timestamp time) {
		boolean changed = suspended ? this.suspendedPools.add(pool) : this.suspendedPools.remove(pool);
		if (!changed) {
			return;
		}
		entriesOf(pool).forEach((entry) -> {
			entry.suspended = suspended;
			entry.occurrences.forEach((occurrence, job) -> this.scheduler.setSuspended(job,
					entry.isSuspended(occurrence), time.nowMillis()));
		});
	}

	/**
	 * Stops the runs of a pool's jobs on endpoints of other failure domains, because the
	 * pool may have another owner.
	 * @param pool the pool
	 * @param time the current time
	 */
	public void stopOutsideDomain(String pool, Timestamp time) {
		entriesOf(pool).stream()
			.flatMap((entry) -> entry.occurrences.values().stream())
			.forEach((job) -> this.scheduler.stopOutsideDomain(job, pool, time.nowMillis()));
	}

	/**
	 * Removes the jobs of a pool that has another owner, and stops their runs. Ends of
	 * their runs that are not stored are forwarded to that owner.
	 * @param pool the pool
	 * @param time the current time
	 */
	public void removePool(String pool, Timestamp time) {
		this.runNumbersByPool.remove(pool);
		entriesOf(pool).forEach((entry) -> {
			this.entries.remove(entry.jobId());
			entry.waitingOrigins.forEach((origin) -> this.actions.answer(origin, entry.jobId(),
					JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "owner-changed")));
			entry.occurrences.values().forEach((job) -> this.scheduler.release(job, time.nowMillis()));
			entry.pendingTerminations.forEach((pending) -> this.scheduler.forwardTermination(pending.termination()));
		});
	}

	// The shared log may still store the job, so the submission is answered as uncertain
	// and not refused.
	private void answerExpiredSubmitters(Entry entry, Timestamp time) {
		if (time.epochMillis() - entry.job.acceptedEpochMillis() > entry.job.terms().budgetMillis()) {
			entry.waitingOrigins.forEach((origin) -> this.actions.answer(origin, entry.jobId(),
					JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "not-stored-in-time")));
			entry.waitingOrigins.clear();
		}
	}

	private List<Entry> entriesOf(String pool) {
		return this.entries.values().stream().filter((entry) -> entry.pool.equals(pool)).toList();
	}

	/**
	 * Runs the periodic work: starts due occurrences, answers submissions past their time
	 * limit, reserves run numbers and removes expired finished jobs.
	 * @param time the current time
	 */
	public void tick(Timestamp time) {
		this.tickTime = time;
		List<Entry> unfinished = this.entries.values().stream().filter((entry) -> !entry.finished).toList();
		unfinished.forEach((entry) -> {
			if (entry.isAccepted()) {
				resumeDueOccurrences(entry, time);
				startDueOccurrences(entry, time);
			}
			else {
				answerExpiredSubmitters(entry, time);
			}
		});
		this.runNumbersByPool.forEach((pool, numbers) -> {
			if (numbers.needsRange()) {
				this.actions.reserveRunNumbers(pool, numbers.requestRange());
			}
		});
		if (time.nowMillis() >= this.nextSweepMillis) {
			this.nextSweepMillis = time.nowMillis() + SWEEP_INTERVAL_MILLIS;
			sweep(time);
		}
	}

	private void sweep(Timestamp time) {
		List<Entry> expired = this.entries.values()
			.stream()
			.filter((entry) -> entry.finished
					&& time.epochMillis() - entry.stateChangedEpochMillis > FINISHED_RETENTION_MILLIS)
			.toList();
		expired.forEach((entry) -> {
			this.entries.remove(entry.jobId());
			this.actions.remove(entry.pool, entry.jobId(), true);
		});
	}

	/**
	 * Returns the status of a job.
	 * @param jobId the id of the job
	 * @return the status, or empty if the job is unknown or not accepted yet
	 */
	public Optional<JobStatus> status(String jobId) {
		return Optional.ofNullable(this.entries.get(jobId)).filter(Entry::isAccepted).map(Entry::status);
	}

	/**
	 * Counts the accepted jobs of a queue of which no task has started.
	 * @param queue the name of the queue
	 * @return the number
	 */
	public int pendingJobCount(String queue) {
		return (int) this.entries.values()
			.stream()
			.filter((entry) -> entry.isAccepted() && !entry.finished)
			.filter((entry) -> entry.job.terms().queue().equals(queue))
			.filter((entry) -> entry.status() == JobStatus.PENDING)
			.count();
	}

	/**
	 * Returns the progress of a job to store.
	 * @param jobId the id of the job
	 * @return the progress, or empty if the job is unknown
	 */
	public Optional<DurableProgress> progress(String jobId) {
		return Optional.ofNullable(this.entries.get(jobId)).map(Entry::progress);
	}

	/**
	 * Returns whether there are jobs, finished ones that are still retained included.
	 * @return whether there are jobs
	 */
	public boolean hasJobs() {
		return !this.entries.isEmpty();
	}

	/**
	 * A point in time on the monotonic and the wall clock.
	 *
	 * @param nowMillis the monotonic time in milliseconds
	 * @param epochMillis the wall clock time in milliseconds since 1970
	 */
	public record Timestamp(long nowMillis, long epochMillis) {
	}

	/**
	 * Finds jobs, and opens occurrences that a report shows to have been started.
	 */
	private final class Lookup implements DurableJobLookup {

		@Override
		public boolean isKnown(String jobId) {
			return DurableJobs.this.entries.containsKey(jobId);
		}

		@Override
		public boolean isUnopened(String jobId, int occurrence) {
			Entry entry = DurableJobs.this.entries.get(jobId);
			return entry != null && entry.state == DurableState.ACTIVE && entry.isAccepted()
					&& occurrence >= entry.nextOccurrence && occurrence < entry.job.spec().schedule().count();
		}

		@Override
		public Optional<PooledJob> openOccurrence(String jobId, int occurrence) {
			Entry entry = DurableJobs.this.entries.get(jobId);
			while (isUnopened(jobId, occurrence) && entry.mayOpenOccurrence()) {
				entry.earlyOccurrences.add(entry.nextOccurrence);
				startOccurrence(entry, entry.nextOccurrence, List.of(), DurableJobs.this.tickTime);
				entry.nextOccurrence++;
			}
			return Optional.ofNullable(entry).map((found) -> found.occurrences.get(occurrence));
		}

	}

	private record PendingTermination(long revision, TerminationId termination) {
	}

	private static final class Entry {

		private final String pool;

		private DurableJob job;

		private final List<JobOrigin> waitingOrigins = new ArrayList<>();

		private final Map<Integer, PooledJob> occurrences = new HashMap<>();

		/**
		 * Open occurrences that are suspended until they are due, as the clock of a
		 * previous owner was ahead.
		 */
		private final Set<Integer> earlyOccurrences = new HashSet<>();

		private final List<Integer> completed = new ArrayList<>();

		private final List<PendingTermination> pendingTerminations = new ArrayList<>();

		private JobRunNumbers runNumbers = JobRunNumbers.UNRESERVED;

		private DurableState state = DurableState.ACTIVE;

		private long stateChangedEpochMillis;

		private long revision;

		private long storedRevision;

		private int nextOccurrence;

		private boolean suspended;

		private boolean finished;

		private Entry(String pool, DurableJob job) {
			this.pool = pool;
			this.job = job;
			this.stateChangedEpochMillis = job.acceptedEpochMillis();
		}

		private String jobId() {
			return this.job.spec().jobId();
		}

		private boolean isAccepted() {
			return this.storedRevision > 0;
		}

		private boolean isSuspended(int occurrence) {
			return this.suspended || this.earlyOccurrences.contains(occurrence);
		}

		// Many occurrences may be due at once, but the memory and time of an owner are
		// limited. One occurrence may always be open.
		private boolean mayOpenOccurrence() {
			long openCount = this.occurrences.size() + 1L;
			return openCount == 1
					|| openCount <= MAX_OPEN_OCCURRENCES && openCount * this.job.spec().taskCount() <= MAX_OPEN_TASKS;
		}

		// A job without a schedule is due once it is accepted, also if the clock of its
		// next owner is behind.
		private boolean isDue(int occurrence, Timestamp time) {
			return !this.job.spec().schedule().isTimed() || dueEpochMillis(occurrence) <= time.epochMillis();
		}

		private long dueEpochMillis(int occurrence) {
			JobSchedule schedule = this.job.spec().schedule();
			return schedule.isTimed() ? schedule.dueEpochMillis(occurrence) : this.job.acceptedEpochMillis();
		}

		private JobStatus status() {
			if (!this.finished) {
				boolean started = !this.completed.isEmpty()
						|| this.occurrences.values().stream().anyMatch(PooledJob::isStarted);
				return started ? JobStatus.RUNNING : JobStatus.PENDING;
			}
			return switch (this.state) {
				case COMPLETED -> JobStatus.COMPLETED;
				case FAILED -> JobStatus.FAILED;
				default -> JobStatus.CANCELLED;
			};
		}

		private DurableProgress progress() {
			List<OccurrenceProgress> startedOccurrences = new ArrayList<>();
			if (this.state == DurableState.ACTIVE) {
				IntStream.range(0, this.nextOccurrence)
					.forEach((occurrence) -> startedOccurrences.add(progress(occurrence)));
			}
			return new DurableProgress(this.state, this.stateChangedEpochMillis, startedOccurrences);
		}

		private OccurrenceProgress progress(int occurrence) {
			PooledJob unfinished = this.occurrences.get(occurrence);
			return (unfinished != null) ? new OccurrenceProgress(occurrence, false, unfinished.progress())
					: new OccurrenceProgress(occurrence, true, List.of());
		}

	}

}
