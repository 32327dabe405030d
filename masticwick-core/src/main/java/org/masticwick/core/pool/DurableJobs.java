package org.masticwick.core.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

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
	private static final long FINISHED_RETENTION_MILLIS = EarlyCancellations.RETENTION_MILLIS;

	/** The interval at which expired finished jobs are removed, in milliseconds. */
	private static final long SWEEP_INTERVAL_MILLIS = 1_000;

	private final OccurrenceScheduler scheduler;

	private final DurableJobActions actions;

	private final DurableJobLookup lookup = new Lookup();

	private final Map<String, DurableEntry> entries = new HashMap<>();

	private final EarlyCancellations earlyCancellations = new EarlyCancellations();

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
		DurableEntry existing = this.entries.get(spec.jobId());
		if (existing != null) {
			attach(existing, origin);
			return;
		}
		if (this.earlyCancellations.contains(spec.jobId())) {
			this.actions.answer(origin, spec.jobId(), cancelledEarly(spec.jobId(), time));
			return;
		}
		Optional<JobOutcome> refusal = this.scheduler.checkAdmission(spec, terms, time.nowMillis());
		if (refusal.isPresent()) {
			this.actions.answer(origin, spec.jobId(), refusal.get());
			return;
		}
		DurableEntry entry = new DurableEntry(pool, new DurableJob(spec, terms, time.epochMillis()),
				runNumbers(pool).ofNewJob());
		entry.addWaitingOrigin(origin);
		entry.setSuspended(this.suspendedPools.contains(pool));
		this.entries.put(spec.jobId(), entry);
		this.actions.writeDefinition(pool, entry.job());
		writeProgress(entry, DurableState.ACTIVE, time);
	}

	private void attach(DurableEntry entry, JobOrigin origin) {
		if (entry.isAccepted()) {
			this.actions.answer(origin, entry.jobId(), accepted());
		}
		else {
			entry.addWaitingOrigin(origin);
		}
	}

	private JobOutcome cancelledEarly(String jobId, Timestamp time) {
		return new JobOutcome(JobOutcome.Kind.REFUSED,
				this.earlyCancellations.remainingMillis(jobId, time.epochMillis()), "cancelled-before-its-submission");
	}

	private static JobOutcome accepted() {
		return JobOutcome.of(JobOutcome.Kind.ACCEPTED, "stored");
	}

	private void writeProgress(DurableEntry entry, DurableState state, Timestamp time) {
		this.actions.writeProgress(entry.pool(), entry.jobId(), entry.revise(state, time.epochMillis()));
	}

	/**
	 * Records that the progress of a job is stored in the shared log.
	 * @param jobId the id of the job
	 * @param revision the stored revision of the progress
	 * @param time the current time
	 */
	public void progressStored(String jobId, long revision, Timestamp time) {
		DurableEntry entry = this.entries.get(jobId);
		if (entry == null) {
			return;
		}
		boolean newlyAccepted = !entry.isAccepted();
		entry.stored(revision).forEach(this.actions::terminationStored);
		if (newlyAccepted) {
			entry.pollWaitingOrigins().forEach((origin) -> this.actions.answer(origin, jobId, accepted()));
			startDueOccurrences(entry, time);
		}
		if (!entry.isActive() && entry.isNewest(revision) && !entry.isFinished()) {
			markFinished(entry);
		}
	}

	private void markFinished(DurableEntry entry) {
		entry.finish(finishedJob(entry.jobId(), entry.stateChangedEpochMillis()));
		this.actions.remove(entry.pool(), entry.jobId(), false);
		this.actions.answerCancellation(entry.jobId());
	}

	private void startDueOccurrences(DurableEntry entry, Timestamp time) {
		while (entry.hasUnopened(entry.nextOccurrence()) && entry.isDue(entry.nextOccurrence(), time.epochMillis())
				&& entry.mayOpenOccurrence()) {
			startOccurrence(entry, entry.nextOccurrence(), List.of(), time);
		}
	}

	private void resumeDueOccurrences(DurableEntry entry, Timestamp time) {
		entry.pollDueEarly(time.epochMillis())
			.forEach((job) -> this.scheduler.setSuspended(job, entry.isSuspended(job.occurrence()), time.nowMillis()));
	}

	private void startOccurrence(DurableEntry entry, int occurrence, List<TaskProgress> storedProgress,
			Timestamp time) {
		if (!entry.isDue(occurrence, time.epochMillis())) {
			entry.markEarly(occurrence);
		}
		long delayMillis = Math.max(0, time.epochMillis() - entry.dueEpochMillis(occurrence));
		entry.open(this.scheduler.start(entry.job(), occurrence, storedProgress, entry.runNumbers(),
				entry.isSuspended(occurrence), time.nowMillis() - delayMillis, time.nowMillis()));
	}

	/**
	 * Records that an occurrence has finished.
	 * @param job the occurrence
	 * @param outcome the outcome of the occurrence
	 * @param time the current time
	 */
	public void occurrenceFinished(PooledJob job, JobOutcome outcome, Timestamp time) {
		DurableEntry entry = this.entries.get(job.spec().jobId());
		if (entry == null || !entry.isActive()) {
			return;
		}
		if (outcome.kind() == JobOutcome.Kind.FAILED) {
			abortOccurrences(entry, "another-occurrence-failed", time);
			writeProgress(entry, DurableState.FAILED, time);
		}
		else if (outcome.kind() == JobOutcome.Kind.COMPLETED) {
			entry.complete(job.occurrence());
			writeProgress(entry, entry.isComplete() ? DurableState.COMPLETED : DurableState.ACTIVE, time);
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
		DurableEntry entry = this.entries.get(jobId);
		if (entry == null) {
			this.scheduler.forwardTermination(termination);
		}
		else {
			entry.addTermination(termination);
			writeProgress(entry, entry.state(), time);
		}
	}

	/**
	 * Stores a loss of an endpoint under a task of a durable job, or what has become
	 * known of it.
	 * @param loss the loss
	 * @param time the current time
	 */
	public void taskLossChanged(TaskLoss loss, Timestamp time) {
		DurableEntry entry = this.entries.get(loss.run().task().jobId());
		if (entry != null && entry.isActive()) {
			writeProgress(entry, entry.state(), time);
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
	 * Cancels a job, also one that is still to be stored: it is stored as cancelled then,
	 * and nothing of it starts. {@link DurableJobActions#answerCancellation} is called
	 * when the cancellation is stored in the shared log.
	 * @param jobId the id of the job
	 * @param time the current time
	 * @return whether the job is known here
	 */
	public boolean cancel(String jobId, Timestamp time) {
		DurableEntry entry = this.entries.get(jobId);
		if (entry == null) {
			return false;
		}
		if (entry.isActive()) {
			abortOccurrences(entry, "cancelled", time);
			writeProgress(entry, DurableState.CANCELLED, time);
		}
		else if (entry.isFinished()) {
			this.actions.answerCancellation(jobId);
		}
		return true;
	}

	/**
	 * Remembers the cancellation of a job that is not known here, so that a submission
	 * that comes later is refused. {@link DurableJobActions#answerCancellation} is called
	 * when the cancellation is stored in the shared log.
	 * @param pool the pool that the job is assigned to, whose jobs have all been read
	 * @param jobId the id of the job
	 * @param time the current time
	 * @return whether it is remembered; {@code false} if there are too many
	 */
	public boolean cancelUnknown(String pool, String jobId, Timestamp time) {
		boolean remembered = this.earlyCancellations
			.add(new EarlyCancellations.EarlyCancellation(pool, jobId, time.epochMillis()));
		if (remembered) {
			this.actions.writeEarlyCancellation(pool, jobId, time.epochMillis());
		}
		return remembered;
	}

	/**
	 * Recovers the cancellation of a job that was unknown to a previous owner of the
	 * pool.
	 * @param pool the pool
	 * @param jobId the id of the job
	 * @param cancelledEpochMillis when it was cancelled, in milliseconds since 1970
	 */
	public void recoverEarlyCancellation(String pool, String jobId, long cancelledEpochMillis) {
		this.earlyCancellations.recover(new EarlyCancellations.EarlyCancellation(pool, jobId, cancelledEpochMillis));
	}

	private void abortOccurrences(DurableEntry entry, String reason, Timestamp time) {
		entry.openOccurrences().forEach((job) -> this.scheduler.abort(job, reason, time.nowMillis()));
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
		boolean active = progress.state() == DurableState.ACTIVE;
		JobRunNumbers numbers = active ? runNumbers(pool).ofRecoveredJob() : JobRunNumbers.UNRESERVED;
		DurableEntry entry = new DurableEntry(pool, job, numbers);
		entry.recover(progress);
		entry.setSuspended(true);
		this.suspendedPools.add(pool);
		this.entries.put(job.spec().jobId(), entry);
		if (!active) {
			markFinished(entry);
			return;
		}
		progress.occurrences().forEach((occurrence) -> recover(entry, occurrence, time));
		startDueOccurrences(entry, time);
	}

	private void recover(DurableEntry entry, OccurrenceProgress occurrence, Timestamp time) {
		while (entry.nextOccurrence() < occurrence.occurrence()) {
			startOccurrence(entry, entry.nextOccurrence(), List.of(), time);
		}
		if (occurrence.completed()) {
			entry.complete(occurrence.occurrence());
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
		DurableJob finishedJob = finishedJob(jobId, progress.stateChangedEpochMillis());
		DurableEntry entry = new DurableEntry(pool, finishedJob, JobRunNumbers.UNRESERVED);
		entry.recover(progress);
		entry.finish(finishedJob);
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
			entry.setSuspended(suspended);
			entry.openOccurrences()
				.forEach((job) -> this.scheduler.setSuspended(job, entry.isSuspended(job.occurrence()),
						time.nowMillis()));
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
			.flatMap((entry) -> entry.openOccurrences().stream())
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
		this.earlyCancellations.removePool(pool);
		entriesOf(pool).forEach((entry) -> {
			this.entries.remove(entry.jobId());
			answerUncertain(entry, "owner-changed");
			entry.openOccurrences().forEach((job) -> this.scheduler.release(job, time.nowMillis()));
			entry.unstoredTerminations().forEach(this.scheduler::forwardTermination);
		});
	}

	// The shared log may still store the job, so the submission is answered as uncertain
	// and not refused.
	private void answerExpiredSubmitters(DurableEntry entry, Timestamp time) {
		DurableJob job = entry.job();
		if (time.epochMillis() - job.acceptedEpochMillis() > job.terms().budgetMillis()) {
			answerUncertain(entry, "not-stored-in-time");
		}
	}

	private void answerUncertain(DurableEntry entry, String reason) {
		JobOutcome outcome = JobOutcome.of(JobOutcome.Kind.UNCERTAIN, reason);
		entry.pollWaitingOrigins().forEach((origin) -> this.actions.answer(origin, entry.jobId(), outcome));
	}

	private List<DurableEntry> entriesOf(String pool) {
		return this.entries.values().stream().filter((entry) -> entry.pool().equals(pool)).toList();
	}

	/**
	 * Runs the periodic work: starts due occurrences, answers submissions past their time
	 * limit, reserves run numbers and removes expired finished jobs.
	 * @param time the current time
	 */
	public void tick(Timestamp time) {
		this.tickTime = time;
		List<DurableEntry> unfinished = this.entries.values().stream().filter((entry) -> !entry.isFinished()).toList();
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
		List<DurableEntry> expired = this.entries.values()
			.stream()
			.filter((entry) -> entry.isFinished()
					&& time.epochMillis() - entry.stateChangedEpochMillis() > FINISHED_RETENTION_MILLIS)
			.toList();
		expired.forEach((entry) -> {
			this.entries.remove(entry.jobId());
			this.actions.remove(entry.pool(), entry.jobId(), true);
		});
		this.earlyCancellations.pollExpired(time.epochMillis())
			.forEach((each) -> this.actions.removeEarlyCancellation(each.pool(), each.jobId()));
	}

	/**
	 * Returns the status of a job.
	 * @param jobId the id of the job
	 * @return the status, or empty if the job is unknown or not accepted yet
	 */
	public Optional<JobStatus> status(String jobId) {
		return Optional.ofNullable(this.entries.get(jobId)).filter(DurableEntry::isAccepted).map(DurableEntry::status);
	}

	/**
	 * Returns whether a job is to be stored, and it is not known whether the shared log
	 * has it. It can be called neither accepted nor unknown.
	 * @param jobId the id of the job
	 * @return whether the job is known here, but not accepted yet
	 */
	public boolean isUnsettled(String jobId) {
		return Optional.ofNullable(this.entries.get(jobId)).filter((entry) -> !entry.isAccepted()).isPresent();
	}

	/**
	 * Counts the accepted jobs of a queue of which no task has started.
	 * @param queue the name of the queue
	 * @return the number
	 */
	public int pendingJobCount(String queue) {
		return (int) this.entries.values()
			.stream()
			.filter((entry) -> entry.isAccepted() && !entry.isFinished())
			.filter((entry) -> entry.job().terms().queue().equals(queue))
			.filter((entry) -> entry.status() == JobStatus.PENDING)
			.count();
	}

	/**
	 * Returns the progress of a job to store.
	 * @param jobId the id of the job
	 * @return the progress, or empty if the job is unknown
	 */
	public Optional<DurableProgress> progress(String jobId) {
		return Optional.ofNullable(this.entries.get(jobId)).map(DurableEntry::progress);
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
			DurableEntry entry = DurableJobs.this.entries.get(jobId);
			return entry != null && entry.isAccepted() && entry.hasUnopened(occurrence);
		}

		@Override
		public Optional<PooledJob> openOccurrence(String jobId, int occurrence) {
			DurableEntry entry = DurableJobs.this.entries.get(jobId);
			while (isUnopened(jobId, occurrence) && entry.mayOpenOccurrence()) {
				entry.markEarly(entry.nextOccurrence());
				startOccurrence(entry, entry.nextOccurrence(), List.of(), DurableJobs.this.tickTime);
			}
			return Optional.ofNullable(entry).flatMap((found) -> found.openOccurrence(occurrence));
		}

	}

}
