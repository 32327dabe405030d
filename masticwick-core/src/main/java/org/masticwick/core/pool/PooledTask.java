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
