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
 * Keeps the jobs of an owner's pools that have to be done whatever host is lost. A job is
 * accepted when the shared log has it, its occurrences run when they are due, and it is
 * told as ended when the shared log has that too.
 * <p>
 * Not thread-safe: all calls come from one thread, with a time that never falls.
 */
public final class DurableJobs {

	/** How long the state of a job that has ended can be asked for. */
	private static final long FINISHED_RETENTION_MILLIS = 150_000;

	/** How often jobs are forgotten that ended long ago. */
	private static final long SWEEP_INTERVAL_MILLIS = 1_000;

	private final PoolScheduler scheduler;

	private final DurableJobActions actions;

	private final Map<String, Entry> entries = new HashMap<>();

	/** Pools of whose jobs nothing is started for now. */
	private final Set<String> suspendedPools = new HashSet<>();

	private long nextSweepMillis = Long.MIN_VALUE / 2;

	/**
	 * Creates an owner's jobs, of which there are none yet.
	 * @param scheduler runs them
	 * @param actions keeps them
	 */
	public DurableJobs(PoolScheduler scheduler, DurableJobActions actions) {
		this.scheduler = scheduler;
		this.actions = actions;
	}

	/**
	 * Takes a job or refuses it. The answer comes when the shared log has it.
	 * @param pool the pool that it belongs to from now on
	 * @param spec the job
	 * @param terms the terms of its queue
	 * @param origin who waits for the answer
	 * @param time the time
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
	 * Takes note that the shared log has a change.
	 * @param jobId the job
	 * @param revision the number of the change
	 * @param time the time
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
				&& entry.dueEpochMillis(entry.nextOccurrence) <= time.epochMillis()) {
			startOccurrence(entry, entry.nextOccurrence, List.of(), time);
			entry.nextOccurrence++;
		}
	}

	private void startOccurrence(Entry entry, int occurrence, List<TaskProgress> storedProgress, Timestamp time) {
		long delayMillis = Math.max(0, time.epochMillis() - entry.dueEpochMillis(occurrence));
		PooledJob occurrenceJob = this.scheduler.startOccurrence(entry.job, occurrence, storedProgress, entry.suspended,
				time.nowMillis() - delayMillis, time.nowMillis());
		entry.occurrences.put(occurrence, occurrenceJob);
	}

	/**
	 * Takes note that an occurrence has ended.
	 * @param job the occurrence
	 * @param outcome how it ended
	 * @param time the time
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
	 * Takes note that a run has ended, which the endpoint lists until the shared log has
	 * it.
	 * @param job the occurrence
	 * @param termination the end
	 * @param time the time
	 */
	public void runTerminated(PooledJob job, TerminationId termination, Timestamp time) {
		Entry entry = this.entries.get(job.spec().jobId());
		if (entry != null) {
			entry.pendingTerminations.add(new PendingTermination(entry.revision + 1, termination));
			writeProgress(entry, entry.state, time);
		}
	}

	/**
	 * Takes note that a run has ended on an endpoint of another owner.
	 * @param termination the end, which {@link DurableJobActions#terminationStored} names
	 * once the shared log has it
	 * @param terminatedRun what ended and how
	 * @param time the time
	 * @return whether the end is to be written; if not, the job is not known, or the end
	 * is
	 */
	public boolean orphanedRunTerminated(TerminationId termination, TerminatedRun terminatedRun, Timestamp time) {
		Optional<PooledJob> job = this.scheduler.recordRemoteTermination(terminatedRun, time.nowMillis());
		job.ifPresent((found) -> runTerminated(found, termination, time));
		return job.isPresent();
	}

	/**
	 * Cancels a job. {@link DurableJobActions#answerCancellation} tells when the shared
	 * log has it.
	 * @param jobId the job
	 * @param time the time
	 * @return whether the job is known
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

	/**
	 * Takes a job that another owner of the pool has accepted.
	 * @param pool the pool
	 * @param job the job
	 * @param progress how far it is
	 * @param time the time
	 */
	public void recover(String pool, DurableJob job, DurableProgress progress, Timestamp time) {
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
	 * Takes note that a job has ended of which nothing else is kept.
	 * @param pool the pool
	 * @param jobId the job
	 * @param progress how it ended
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

	// Only the state of a job that has ended is told, so that the rest need not be held
	// in
	// memory.
	private static DurableJob finishedJob(String jobId, long finishedEpochMillis) {
		return new DurableJob(new JobSpec(jobId, "", List.of(), true, JobSchedule.IMMEDIATE), null,
				finishedEpochMillis);
	}

	/**
	 * Holds the jobs of a pool back, or lets them go on.
	 * @param pool the pool
	 * @param suspended whether to start nothing of them
	 * @param time the time
	 */
	public void setSuspended(String pool, boolean suspended, Timestamp time) {
		boolean changed = suspended ? this.suspendedPools.add(pool) : this.suspendedPools.remove(pool);
		if (!changed) {
			return;
		}
		entriesOf(pool).forEach((entry) -> {
			entry.suspended = suspended;
			entry.occurrences.values().forEach((job) -> this.scheduler.setSuspended(job, suspended, time.nowMillis()));
		});
	}

	/**
	 * Stops what runs of a pool's jobs on endpoints of other failure domains, as the pool
	 * may have another owner.
	 * @param pool the pool
	 * @param time the time
	 */
	public void stopOutsideDomain(String pool, Timestamp time) {
		entriesOf(pool).stream()
			.flatMap((entry) -> entry.occurrences.values().stream())
			.forEach((job) -> this.scheduler.stopOutsideDomain(job, pool, time.nowMillis()));
	}

	/**
	 * Forgets the jobs of a pool that has another owner, and stops what runs of them.
	 * @param pool the pool
	 * @param time the time
	 */
	public void removePool(String pool, Timestamp time) {
		entriesOf(pool).forEach((entry) -> {
			this.entries.remove(entry.jobId());
			entry.waitingOrigins.forEach((origin) -> this.actions.answer(origin, entry.jobId(),
					JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "owner-changed")));
			abortOccurrences(entry, "owner-changed", time);
		});
	}

	// The shared log may still take the job, so that it can't be refused any more.
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
	 * Does what is due by time alone.
	 * @param time the time
	 */
	public void tick(Timestamp time) {
		List<Entry> unfinished = this.entries.values().stream().filter((entry) -> !entry.finished).toList();
		unfinished.forEach((entry) -> {
			if (entry.isAccepted()) {
				startDueOccurrences(entry, time);
			}
			else {
				answerExpiredSubmitters(entry, time);
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
	 * Tells the state of a job.
	 * @param jobId the job
	 * @return the state, or empty if the job is not known or not accepted yet
	 */
	public Optional<JobStatus> status(String jobId) {
		return Optional.ofNullable(this.entries.get(jobId)).filter(Entry::isAccepted).map(Entry::status);
	}

	/**
	 * Counts the accepted jobs of a queue of which no task has started.
	 * @param queue the queue
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
	 * Tells how far a job is.
	 * @param jobId the job
	 * @return the progress, or empty if the job is not known
	 */
	public Optional<DurableProgress> progress(String jobId) {
		return Optional.ofNullable(this.entries.get(jobId)).map(Entry::progress);
	}

	/**
	 * Returns whether there are jobs, or were not long ago.
	 * @return whether there are
	 */
	public boolean hasJobs() {
		return !this.entries.isEmpty();
	}

	/**
	 * The time on two clocks.
	 *
	 * @param nowMillis a time that never falls, in milliseconds
	 * @param epochMillis the time of day in milliseconds since 1970
	 */
	public record Timestamp(long nowMillis, long epochMillis) {
	}

	private record PendingTermination(long revision, TerminationId termination) {
	}

	private static final class Entry {

		private final String pool;

		private DurableJob job;

		private final List<JobOrigin> waitingOrigins = new ArrayList<>();

		private final Map<Integer, PooledJob> occurrences = new HashMap<>();

		private final List<Integer> completed = new ArrayList<>();

		private final List<PendingTermination> pendingTerminations = new ArrayList<>();

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
