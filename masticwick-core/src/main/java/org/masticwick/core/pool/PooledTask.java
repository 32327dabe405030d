package org.masticwick.core.pool;

import java.util.Optional;

/**
 * A task of a job in a pool.
 */
final class PooledTask {

	private final PooledJob job;

	private final TaskId id;

	private final StepSpec step;

	private int runCount;

	private int failureCount;

	private int slowRestartCount;

	private int lastTerminatedRun;

	private String checkpoint = "";

	private int failedGangRun;

	private boolean done;

	private boolean possiblyRunning;

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

	TaskRun nextRun() {
		return assignRunNumber(this.runCount + 1);
	}

	/**
	 * Numbers the next run.
	 * @param number the number, above that of any run before
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

	void recordTermination(int number) {
		this.lastTerminatedRun = Math.max(this.lastTerminatedRun, number);
		this.runCount = Math.max(this.runCount, number);
	}

	String checkpoint() {
		return this.checkpoint;
	}

	/**
	 * Takes the newest checkpoint, if there is one.
	 * @param newest the checkpoint, or an empty string
	 */
	void checkpoint(String newest) {
		if (!newest.isEmpty()) {
			this.checkpoint = newest;
		}
	}

	/**
	 * Tells how far the task is.
	 * @return the progress, or empty if no run has ended
	 */
	Optional<TaskProgress> progress() {
		if (this.lastTerminatedRun == 0 && !this.done) {
			return Optional.empty();
		}
		return Optional.of(new TaskProgress(this.id.step(), this.id.index(), this.done, this.lastTerminatedRun,
				this.failureCount, this.checkpoint));
	}

	/**
	 * Goes on from what is kept of the task.
	 * @param storedProgress the progress
	 */
	void restore(TaskProgress storedProgress) {
		this.lastTerminatedRun = storedProgress.lastTerminatedRun();
		this.runCount = storedProgress.lastTerminatedRun();
		this.failureCount = storedProgress.failureCount();
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
		return new TaskTransfer(this.id, this.done, this.runCount, this.failureCount,
				placed ? this.placement.endpoint().entry().id() : "",
				placed ? nowMillis - this.placement.orderedMillis() : 0, placed && this.placement.isAccepted());
	}

	/**
	 * Takes over what another owner counted.
	 * @param transfer the state there
	 */
	void adopt(TaskTransfer transfer) {
		this.runCount = transfer.runCount();
		this.failureCount = transfer.failureCount();
	}

	TaskRun currentRun() {
		return new TaskRun(this.id, this.runCount);
	}

	int countFailure() {
		this.failureCount++;
		return this.failureCount;
	}

	/**
	 * Counts a failed run of a gang, of which each member may list an end.
	 * @param number the number of the run
	 * @return how many runs have failed
	 */
	int countGangFailure(int number) {
		if (number > this.failedGangRun) {
			this.failedGangRun = number;
			countFailure();
		}
		return this.failureCount;
	}

	int slowRestartCount() {
		return this.slowRestartCount;
	}

	void countSlowRestart() {
		this.slowRestartCount++;
	}

	/**
	 * Returns whether the task is neither done nor on an endpoint, as far as is certain.
	 * @return whether it can be started
	 */
	boolean isWaiting() {
		return !this.done && this.placement == null && !this.possiblyRunning;
	}

	/**
	 * Takes note of whether a run may go on at an endpoint of another owner.
	 * @param nowPossiblyRunning whether it may
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
	}

}
