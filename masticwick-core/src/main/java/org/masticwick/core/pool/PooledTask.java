package org.masticwick.core.pool;

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

	private boolean done;

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
		this.runCount++;
		return new TaskRun(this.id, this.runCount);
	}

	void continueRunsOf(PooledTask earlier) {
		this.runCount = earlier.runCount;
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

	int slowRestartCount() {
		return this.slowRestartCount;
	}

	void countSlowRestart() {
		this.slowRestartCount++;
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
