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
	private static final long KEPT_MILLIS = 150_000;

	/** How often jobs are forgotten that ended long ago. */
	private static final long SWEEP_MILLIS = 1_000;

	private final PoolScheduler scheduler;

	private final DurableJobActions actions;

	private final Map<String, Entry> entries = new HashMap<>();

	/** Pools of whose jobs nothing is started for now. */
	private final Set<String> heldPools = new HashSet<>();

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
		Entry present = this.entries.get(spec.jobId());
		if (present != null) {
			attach(present, origin);
			return;
		}
		Optional<JobOutcome> refusal = this.scheduler.checkAdmission(spec, terms, time.nowMillis());
		if (refusal.isPresent()) {
			this.actions.answer(origin, spec.jobId(), refusal.get());
			return;
		}
		Entry entry = new Entry(pool, new DurableJob(spec, terms, time.epochMillis()));
		entry.waiting.add(origin);
		entry.held = this.heldPools.contains(pool);
		this.entries.put(spec.jobId(), entry);
		this.actions.writeDefinition(pool, entry.job);
		write(entry, DurableState.ACTIVE, time);
	}

	private void attach(Entry entry, JobOrigin origin) {
		if (entry.isAccepted()) {
			this.actions.answer(origin, entry.jobId(), accepted());
		}
		else {
			entry.waiting.add(origin);
		}
	}

	private static JobOutcome accepted() {
		return JobOutcome.of(JobOutcome.Kind.ACCEPTED, "stored");
	}

	private void write(Entry entry, DurableState state, Timestamp time) {
		if (entry.state != state) {
			entry.changedEpochMillis = time.epochMillis();
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
		boolean first = !entry.isAccepted();
		entry.storedRevision = Math.max(entry.storedRevision, revision);
		List<StoredEnd> stored = entry.ends.stream().filter((end) -> end.revision() <= revision).toList();
		entry.ends.removeAll(stored);
		stored.forEach((end) -> this.actions.terminationStored(end.end()));
		if (first) {
			entry.waiting.forEach((origin) -> this.actions.answer(origin, jobId, accepted()));
			entry.waiting.clear();
			beginDue(entry, time);
		}
		if (entry.state != DurableState.ACTIVE && entry.revision == revision && !entry.ended) {
			markFinished(entry);
		}
	}

	private void markFinished(Entry entry) {
		entry.ended = true;
		entry.job = endedJob(entry.jobId(), entry.changedEpochMillis);
		this.actions.remove(entry.pool, entry.jobId(), false);
		this.actions.answerCancellation(entry.jobId());
	}

	private void beginDue(Entry entry, Timestamp time) {
		JobSchedule schedule = entry.job.spec().schedule();
		while (entry.state == DurableState.ACTIVE && entry.nextOccurrence < schedule.count()
				&& entry.dueEpochMillis(entry.nextOccurrence) <= time.epochMillis()) {
			begin(entry, entry.nextOccurrence, List.of(), time);
			entry.nextOccurrence++;
		}
	}

	private void begin(Entry entry, int occurrence, List<TaskProgress> kept, Timestamp time) {
		long lateMillis = Math.max(0, time.epochMillis() - entry.dueEpochMillis(occurrence));
		PooledJob begun = this.scheduler.startOccurrence(entry.job, occurrence, kept, entry.held,
				time.nowMillis() - lateMillis, time.nowMillis());
		entry.occurrences.put(occurrence, begun);
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
			dropAll(entry, "another-occurrence-failed", time);
			write(entry, DurableState.FAILED, time);
		}
		else if (outcome.kind() == JobOutcome.Kind.COMPLETED) {
			entry.completed.add(job.occurrence());
			entry.occurrences.remove(job.occurrence());
			boolean all = entry.completed.size() == entry.job.spec().schedule().count();
			write(entry, all ? DurableState.COMPLETED : DurableState.ACTIVE, time);
		}
	}

	/**
	 * Takes note that a run has ended, which the endpoint lists until the shared log has
	 * it.
	 * @param job the occurrence
	 * @param end the end
	 * @param time the time
	 */
	public void runTerminated(PooledJob job, TerminationId end, Timestamp time) {
		Entry entry = this.entries.get(job.spec().jobId());
		if (entry != null) {
			entry.ends.add(new StoredEnd(entry.revision + 1, end));
			write(entry, entry.state, time);
		}
	}

	/**
	 * Takes note that a run has ended on an endpoint of another owner.
	 * @param end the end, which {@link DurableJobActions#terminationStored} names once
	 * the shared log has it
	 * @param ended what ended and how
	 * @param time the time
	 * @return whether the end is to be written; if not, the job is not known, or the end
	 * is
	 */
	public boolean orphanedRunTerminated(TerminationId end, TerminatedRun ended, Timestamp time) {
		Optional<PooledJob> job = this.scheduler.recordRemoteTermination(ended, time.nowMillis());
		job.ifPresent((known) -> runTerminated(known, end, time));
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
			dropAll(entry, "cancelled", time);
			write(entry, DurableState.CANCELLED, time);
		}
		else if (entry.ended) {
			this.actions.answerCancellation(jobId);
		}
		return true;
	}

	private void dropAll(Entry entry, String reason, Timestamp time) {
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
		entry.changedEpochMillis = progress.stateChangedEpochMillis();
		entry.storedRevision = 1;
		entry.revision = 1;
		entry.held = true;
		this.heldPools.add(pool);
		this.entries.put(job.spec().jobId(), entry);
		if (entry.state != DurableState.ACTIVE) {
			markFinished(entry);
			return;
		}
		progress.occurrences().forEach((kept) -> recover(entry, kept, time));
		beginDue(entry, time);
	}

	private void recover(Entry entry, OccurrenceProgress kept, Timestamp time) {
		while (entry.nextOccurrence < kept.occurrence()) {
			begin(entry, entry.nextOccurrence, List.of(), time);
			entry.nextOccurrence++;
		}
		entry.nextOccurrence = kept.occurrence() + 1;
		if (kept.completed()) {
			entry.completed.add(kept.occurrence());
		}
		else {
			begin(entry, kept.occurrence(), kept.tasks(), time);
		}
	}

	/**
	 * Takes note that a job has ended of which nothing else is kept.
	 * @param pool the pool
	 * @param jobId the job
	 * @param progress how it ended
	 */
	public void recoverFinished(String pool, String jobId, DurableProgress progress) {
		Entry entry = new Entry(pool, endedJob(jobId, progress.stateChangedEpochMillis()));
		entry.state = progress.state();
		entry.changedEpochMillis = progress.stateChangedEpochMillis();
		entry.storedRevision = 1;
		entry.revision = 1;
		entry.ended = true;
		this.entries.put(jobId, entry);
	}

	// Only the state of a job that has ended is told, so that the rest need not be held
	// in
	// memory.
	private static DurableJob endedJob(String jobId, long endedEpochMillis) {
		return new DurableJob(new JobSpec(jobId, "", List.of(), true, JobSchedule.IMMEDIATE), null, endedEpochMillis);
	}

	/**
	 * Holds the jobs of a pool back, or lets them go on.
	 * @param pool the pool
	 * @param back whether to start nothing of them
	 * @param time the time
	 */
	public void setSuspended(String pool, boolean back, Timestamp time) {
		boolean changed = back ? this.heldPools.add(pool) : this.heldPools.remove(pool);
		if (!changed) {
			return;
		}
		entriesOf(pool).forEach((entry) -> {
			entry.held = back;
			entry.occurrences.values().forEach((job) -> this.scheduler.setSuspended(job, back, time.nowMillis()));
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
			entry.waiting.forEach((origin) -> this.actions.answer(origin, entry.jobId(),
					JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "owner-changed")));
			dropAll(entry, "owner-changed", time);
		});
	}

	// The shared log may still take the job, so that it can't be refused any more.
	private void giveUpWaiting(Entry entry, Timestamp time) {
		if (time.epochMillis() - entry.job.acceptedEpochMillis() > entry.job.terms().budgetMillis()) {
			entry.waiting.forEach((origin) -> this.actions.answer(origin, entry.jobId(),
					JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "not-stored-in-time")));
			entry.waiting.clear();
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
		List<Entry> open = this.entries.values().stream().filter((entry) -> !entry.ended).toList();
		open.forEach((entry) -> {
			if (entry.isAccepted()) {
				beginDue(entry, time);
			}
			else {
				giveUpWaiting(entry, time);
			}
		});
		if (time.nowMillis() >= this.nextSweepMillis) {
			this.nextSweepMillis = time.nowMillis() + SWEEP_MILLIS;
			sweep(time);
		}
	}

	private void sweep(Timestamp time) {
		List<Entry> old = this.entries.values()
			.stream()
			.filter((entry) -> entry.ended && time.epochMillis() - entry.changedEpochMillis > KEPT_MILLIS)
			.toList();
		old.forEach((entry) -> {
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
			.filter((entry) -> entry.isAccepted() && !entry.ended)
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

	private record StoredEnd(long revision, TerminationId end) {
	}

	private static final class Entry {

		private final String pool;

		private DurableJob job;

		private final List<JobOrigin> waiting = new ArrayList<>();

		private final Map<Integer, PooledJob> occurrences = new HashMap<>();

		private final List<Integer> completed = new ArrayList<>();

		private final List<StoredEnd> ends = new ArrayList<>();

		private DurableState state = DurableState.ACTIVE;

		private long changedEpochMillis;

		private long revision;

		private long storedRevision;

		private int nextOccurrence;

		private boolean held;

		private boolean ended;

		private Entry(String pool, DurableJob job) {
			this.pool = pool;
			this.job = job;
			this.changedEpochMillis = job.acceptedEpochMillis();
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
			if (!this.ended) {
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
			List<OccurrenceProgress> kept = new ArrayList<>();
			if (this.state == DurableState.ACTIVE) {
				IntStream.range(0, this.nextOccurrence).forEach((occurrence) -> kept.add(progress(occurrence)));
			}
			return new DurableProgress(this.state, this.changedEpochMillis, kept);
		}

		private OccurrenceProgress progress(int occurrence) {
			PooledJob running = this.occurrences.get(occurrence);
			return (running != null) ? new OccurrenceProgress(occurrence, false, running.progress())
					: new OccurrenceProgress(occurrence, true, List.of());
		}

	}

}
