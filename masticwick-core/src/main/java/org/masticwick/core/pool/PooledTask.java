package org.masticwick.core.pool;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * A task of a job in a pool, with the numbers of its runs and its present placement.
 */
final class PooledTask {

	/**
	 * How long a task waits for an endpoint without other runs, in milliseconds; about
	 * the time in which one of the endpoints becomes idle.
	 */
	private static final long MAX_ISOLATION_WAIT_MILLIS = 1_000;

	private final PooledJob job;

	private final TaskId id;

	private final StepSpec step;

	private int runCount;

	/** Failed runs whose numbers are not known. */
	private int unnumberedFailureCount;

	/** Empty and immutable until a run fails, as most tasks have no failed run. */
	private Set<Integer> failedRuns = Set.of();

	private int slowRestartCount;

	private int lastTerminatedRun;

	private String checkpoint = "";

	private boolean done;

	private boolean possiblyRunning;

	private boolean held;

	private long waitingSinceMillis;

	private TaskLosses losses;

	private Placement placement;

	PooledTask(PooledJob job, TaskId id, StepSpec step) {
		this.job = job;
		this.id = id;
		this.step = step;
	}

	PooledJob job() {
		return this.job;
	}

	TaskId id() {
		return this.id;
	}

	StepSpec step() {
		return this.step;
	}

	/**
	 * Returns the number of the next run, which is higher than that of any run that this
	 * owner knows, or that a previous owner may have started without its knowledge.
	 * @return the number
	 */
	int nextRunNumber() {
		return Math.max(this.runCount, this.job.runNumbers().highestPreviousNumber()) + 1;
	}

	/**
	 * Sets the number of the next run.
	 * @param number the number, higher than that of any previous run
	 * @return the run
	 */
	TaskRun assignRunNumber(int number) {
		this.runCount = number;
		return currentRun();
	}

	int runCount() {
		return this.runCount;
	}

	int lastTerminatedRun() {
		return this.lastTerminatedRun;
	}

	/**
	 * Records the termination of a run of a durable job for its stored progress.
	 * @param terminatedRun the terminated run
	 * @return whether it may change the state of the task: it is the latest one, or its
	 * run is done or has failed, which counts whenever it is reported
	 */
	boolean recordTermination(TerminatedRun terminatedRun) {
		int number = terminatedRun.run().number();
		boolean hasEffect = number > this.lastTerminatedRun || terminatedRun.kind() == TerminationKind.DONE
				|| terminatedRun.kind() == TerminationKind.FAILED;
		this.lastTerminatedRun = Math.max(this.lastTerminatedRun, number);
		this.runCount = Math.max(this.runCount, number);
		checkpoint(hasEffect ? terminatedRun.checkpoint() : "");
		return hasEffect;
	}

	String checkpoint() {
		return this.checkpoint;
	}

	/**
	 * Replaces the checkpoint, unless the new one is empty.
	 * @param newCheckpoint the checkpoint, or an empty string
	 */
	void checkpoint(String newCheckpoint) {
		if (!newCheckpoint.isEmpty()) {
			this.checkpoint = newCheckpoint;
		}
	}

	/**
	 * Returns the progress of the task.
	 * @return the progress, or empty if no run has terminated or failed and no endpoint
	 * was lost
	 */
	Optional<TaskProgress> progress() {
		if (this.lastTerminatedRun == 0 && !this.done && this.losses == null && failureCount() == 0) {
			return Optional.empty();
		}
		List<TaskLoss> storedLosses = (this.losses != null && !this.done) ? this.losses.all() : List.of();
		return Optional.of(new TaskProgress(this.id.step(), this.id.index(), this.done, this.lastTerminatedRun,
				failureCount(), this.checkpoint, storedLosses, List.copyOf(this.failedRuns)));
	}

	/**
	 * Restores the progress of the task from the shared log.
	 * @param storedProgress the stored progress
	 */
	void restore(TaskProgress storedProgress) {
		this.lastTerminatedRun = storedProgress.lastTerminatedRun();
		this.runCount = storedProgress.lastTerminatedRun();
		addFailedRuns(storedProgress.failedRuns());
		this.unnumberedFailureCount = Math.max(0, storedProgress.failureCount() - this.failedRuns.size());
		this.checkpoint = storedProgress.checkpoint();
	}

	boolean isLongRunning() {
		return this.step.traits().longRunning();
	}

	void continueRunNumbersOf(PooledTask previousTask) {
		this.runCount = previousTask.runCount;
	}

	TaskTransfer transfer(long nowMillis) {
		boolean placed = this.placement != null;
		return new TaskTransfer(this.id, this.done, this.runCount, failureCount(),
				placed ? this.placement.endpoint().entry().id() : "",
				placed ? nowMillis - this.placement.startRequestedMillis() : 0, placed && this.placement.isAccepted());
	}

	/**
	 * Adopts the run and failure counts of the previous owner.
	 * @param transfer the state of the task at the previous owner
	 */
	void adopt(TaskTransfer transfer) {
		this.runCount = transfer.runCount();
		this.unnumberedFailureCount = transfer.failureCount();
	}

	TaskRun currentRun() {
		return new TaskRun(this.id, this.runCount);
	}

	/**
	 * Counts a failed run once, however often its end is reported, and by whichever
	 * member of a gang.
	 * @param number the number of the run
	 * @return the number of failed runs
	 */
	int countFailure(int number) {
		addFailedRuns(Set.of(number));
		return failureCount();
	}

	private void addFailedRuns(Collection<Integer> numbers) {
		Set<Integer> all = new TreeSet<>(this.failedRuns);
		all.addAll(numbers);
		this.failedRuns = all;
	}

	int failureCount() {
		return this.unnumberedFailureCount + this.failedRuns.size();
	}

	int slowRestartCount() {
		return this.slowRestartCount;
	}

	void countSlowRestart() {
		this.slowRestartCount++;
	}

	/**
	 * Returns whether the task is neither done nor possibly on an endpoint.
	 * @return whether the task can be started
	 */
	boolean isWaiting() {
		return !this.done && this.placement == null && !this.possiblyRunning && !this.held;
	}

	/**
	 * Sets whether the task waits until the losses of its endpoints are explained.
	 * @param nowHeld whether it waits for that
	 */
	void setHeld(boolean nowHeld) {
		this.held = nowHeld;
	}

	boolean isHeld() {
		return this.held;
	}

	/**
	 * Returns the losses of endpoints under the task.
	 * @return the losses, or {@code null} if there are none
	 */
	TaskLosses losses() {
		return this.losses;
	}

	void losses(TaskLosses newLosses) {
		this.losses = newLosses;
	}

	RestartVerdict restartVerdict(long nowMillis) {
		return (this.losses != null) ? this.losses.verdict(nowMillis) : RestartVerdict.START;
	}

	/**
	 * Records that the task is ready to be restarted.
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void restartReady(long nowMillis) {
		this.waitingSinceMillis = nowMillis;
	}

	/**
	 * Returns how far the next run is kept apart from others. A task that has waited long
	 * enough for an endpoint of its own shares one.
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the isolation
	 */
	Isolation isolation(long nowMillis) {
		Isolation isolation = (this.losses != null) ? this.losses.isolation() : Isolation.NONE;
		boolean waitedLong = nowMillis - this.waitingSinceMillis > MAX_ISOLATION_WAIT_MILLIS;
		return (isolation == Isolation.REQUIRED && waitedLong) ? Isolation.PREFERRED : isolation;
	}

	/**
	 * Sets whether a run may continue on an endpoint of another owner.
	 * @param nowPossiblyRunning whether a run may continue there
	 */
	void possiblyRunning(boolean nowPossiblyRunning) {
		this.possiblyRunning = nowPossiblyRunning;
	}

	boolean isDone() {
		return this.done;
	}

	void markDone() {
		this.done = true;
	}

	Placement placement() {
		return this.placement;
	}

	void placement(Placement current) {
		this.placement = current;
		this.held &= current == null;
	}

}
