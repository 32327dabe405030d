package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * A durable job of an owner: how far it is, what of that the shared log has stored, and
 * who waits for it.
 */
final class DurableEntry {

	/**
	 * The number of unfinished occurrences of a job up to which the next due one starts.
	 */
	private static final int MAX_OPEN_OCCURRENCES = 1_000;

	/**
	 * The number of tasks of a job's unfinished occurrences up to which the next due one
	 * starts; many times the task count of the largest job to be supported, which is 560.
	 */
	private static final long MAX_OPEN_TASKS = 10_000;

	private final String pool;

	private final JobRunNumbers runNumbers;

	private final List<JobOrigin> waitingOrigins = new ArrayList<>();

	private final Map<Integer, PooledJob> occurrences = new HashMap<>();

	/**
	 * Open occurrences that are suspended until they are due, as the clock of a previous
	 * owner was ahead.
	 */
	private final Set<Integer> earlyOccurrences = new HashSet<>();

	private final Set<Integer> completed = new HashSet<>();

	private final List<PendingTermination> pendingTerminations = new ArrayList<>();

	private DurableJob job;

	private DurableState state = DurableState.ACTIVE;

	private long stateChangedEpochMillis;

	private long revision;

	private long storedRevision;

	private int nextOccurrence;

	private boolean suspended;

	private boolean finished;

	DurableEntry(String pool, DurableJob job, JobRunNumbers runNumbers) {
		this.pool = pool;
		this.job = job;
		this.runNumbers = runNumbers;
		this.stateChangedEpochMillis = job.acceptedEpochMillis();
	}

	String pool() {
		return this.pool;
	}

	DurableJob job() {
		return this.job;
	}

	String jobId() {
		return this.job.spec().jobId();
	}

	JobRunNumbers runNumbers() {
		return this.runNumbers;
	}

	DurableState state() {
		return this.state;
	}

	boolean isActive() {
		return this.state == DurableState.ACTIVE;
	}

	long stateChangedEpochMillis() {
		return this.stateChangedEpochMillis;
	}

	void addWaitingOrigin(JobOrigin origin) {
		this.waitingOrigins.add(origin);
	}

	/**
	 * Returns the origins that wait until the job is accepted, and forgets them.
	 * @return the origins
	 */
	List<JobOrigin> pollWaitingOrigins() {
		List<JobOrigin> waiting = List.copyOf(this.waitingOrigins);
		this.waitingOrigins.clear();
		return waiting;
	}

	/**
	 * Continues a job of which the log has stored the progress.
	 * @param progress the progress
	 */
	void recover(DurableProgress progress) {
		this.state = progress.state();
		this.stateChangedEpochMillis = progress.stateChangedEpochMillis();
		this.storedRevision = 1;
		this.revision = 1;
	}

	/**
	 * Counts a change of the progress, which is to be stored.
	 * @param newState the state of the job
	 * @param epochMillis the time of day in milliseconds since 1970
	 * @return the revision of the progress
	 */
	long revise(DurableState newState, long epochMillis) {
		if (this.state != newState) {
			this.stateChangedEpochMillis = epochMillis;
		}
		this.state = newState;
		this.revision++;
		return this.revision;
	}

	/**
	 * Records that the log has stored a revision.
	 * @param newStoredRevision the revision
	 * @return the terminations that it includes and no earlier one did
	 */
	List<TerminationId> stored(long newStoredRevision) {
		this.storedRevision = Math.max(this.storedRevision, newStoredRevision);
		List<PendingTermination> included = this.pendingTerminations.stream()
			.filter((pending) -> pending.revision() <= newStoredRevision)
			.toList();
		this.pendingTerminations.removeAll(included);
		return included.stream().map(PendingTermination::termination).toList();
	}

	boolean isNewest(long someRevision) {
		return this.revision == someRevision;
	}

	boolean isAccepted() {
		return this.storedRevision > 0;
	}

	/**
	 * Adds a termination that the next revision of the progress includes.
	 * @param termination the termination
	 */
	void addTermination(TerminationId termination) {
		this.pendingTerminations.add(new PendingTermination(this.revision + 1, termination));
	}

	List<TerminationId> unstoredTerminations() {
		return this.pendingTerminations.stream().map(PendingTermination::termination).toList();
	}

	boolean isFinished() {
		return this.finished;
	}

	/**
	 * Records that the final state is stored.
	 * @param finishedJob what is kept of the job
	 */
	void finish(DurableJob finishedJob) {
		this.finished = true;
		this.job = finishedJob;
	}

	/**
	 * Returns the number of the first occurrence that was never open here.
	 * @return the number, which is that of no occurrence after the last one
	 */
	int nextOccurrence() {
		return this.nextOccurrence;
	}

	boolean hasUnopened(int occurrence) {
		return isActive() && occurrence >= this.nextOccurrence && occurrence < this.job.spec().schedule().count();
	}

	void open(PooledJob occurrence) {
		this.occurrences.put(occurrence.occurrence(), occurrence);
		this.nextOccurrence = Math.max(this.nextOccurrence, occurrence.occurrence() + 1);
	}

	void complete(int occurrence) {
		this.occurrences.remove(occurrence);
		this.completed.add(occurrence);
		this.nextOccurrence = Math.max(this.nextOccurrence, occurrence + 1);
	}

	boolean isComplete() {
		return this.completed.size() == this.job.spec().schedule().count();
	}

	Optional<PooledJob> openOccurrence(int occurrence) {
		return Optional.ofNullable(this.occurrences.get(occurrence));
	}

	List<PooledJob> openOccurrences() {
		return List.copyOf(this.occurrences.values());
	}

	// Many occurrences may be due at once, but the memory and time of an owner are
	// limited. One occurrence may always be open.
	boolean mayOpenOccurrence() {
		long openCount = this.occurrences.size() + 1L;
		return openCount == 1
				|| openCount <= MAX_OPEN_OCCURRENCES && openCount * this.job.spec().taskCount() <= MAX_OPEN_TASKS;
	}

	/**
	 * Returns whether an occurrence is due. A job without a schedule is due once it is
	 * accepted, also if the clock of its next owner is behind.
	 * @param occurrence the number of the occurrence
	 * @param epochMillis the time of day in milliseconds since 1970
	 * @return whether its tasks may start
	 */
	boolean isDue(int occurrence, long epochMillis) {
		return !this.job.spec().schedule().isTimed() || dueEpochMillis(occurrence) <= epochMillis;
	}

	long dueEpochMillis(int occurrence) {
		JobSchedule schedule = this.job.spec().schedule();
		return schedule.isTimed() ? schedule.dueEpochMillis(occurrence) : this.job.acceptedEpochMillis();
	}

	/**
	 * Suspends an occurrence until {@link #pollDueEarly} returns it.
	 * @param occurrence the number of the occurrence, which is open or about to be
	 */
	void markEarly(int occurrence) {
		this.earlyOccurrences.add(occurrence);
	}

	/**
	 * Returns the open occurrences that were early and are due, and ends their
	 * suspension.
	 * @param epochMillis the time of day in milliseconds since 1970
	 * @return the occurrences
	 */
	List<PooledJob> pollDueEarly(long epochMillis) {
		List<Integer> due = this.earlyOccurrences.stream()
			.filter((occurrence) -> isDue(occurrence, epochMillis))
			.toList();
		this.earlyOccurrences.removeAll(due);
		return due.stream().map(this.occurrences::get).filter(Objects::nonNull).toList();
	}

	void setSuspended(boolean nowSuspended) {
		this.suspended = nowSuspended;
	}

	/**
	 * Returns whether no task of an occurrence may start.
	 * @param occurrence the number of the occurrence
	 * @return whether the job is suspended, or the occurrence early
	 */
	boolean isSuspended(int occurrence) {
		return this.suspended || this.earlyOccurrences.contains(occurrence);
	}

	JobStatus status() {
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

	/**
	 * Returns the progress to store.
	 * @return the progress, of an active job with all occurrences that were ever open
	 */
	DurableProgress progress() {
		List<OccurrenceProgress> startedOccurrences = new ArrayList<>();
		if (isActive()) {
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

	/**
	 * A termination that the endpoint keeps until the log has stored a revision.
	 *
	 * @param revision the first revision of the progress that includes it
	 * @param termination the termination
	 */
	private record PendingTermination(long revision, TerminationId termination) {
	}

}
