package org.masticwick.core.request.internal;

import java.util.HashMap;
import java.util.Map;

import org.masticwick.core.request.TaskSpec;

/**
 * Learns the run times of a service by kind of task. Declared run times count only as
 * long as nothing was learnt, and within bounds.
 */
final class RunTimes {

	private static final int MAX_KIND_COUNT = 512;

	private static final int TRUSTED_SAMPLE_COUNT = 20;

	private static final double PRIOR_RANGE = 4;

	private static final double PRIOR_TAIL_FACTOR = 4;

	private final Map<String, RunTimeEstimate> kinds = new HashMap<>();

	private final RunTimeEstimate all = new RunTimeEstimate();

	private final double priorNanos;

	/**
	 * Creates an object that has learnt nothing.
	 * @param priorNanos the run time to expect of anything, in nanoseconds
	 */
	RunTimes(double priorNanos) {
		this.priorNanos = priorNanos;
	}

	/**
	 * Takes in the run time of a task.
	 * @param kind the kind of the task
	 * @param runTimeNanos its run time in nanoseconds
	 */
	void add(String kind, long runTimeNanos) {
		this.all.add(runTimeNanos);
		RunTimeEstimate estimate = this.kinds.get(kind);
		if (estimate == null && this.kinds.size() < MAX_KIND_COUNT) {
			estimate = new RunTimeEstimate();
			this.kinds.put(kind, estimate);
		}
		if (estimate != null) {
			estimate.add(runTimeNanos);
		}
	}

	/**
	 * Returns the run time to expect of a task.
	 * @param task the task
	 * @return the run time in nanoseconds
	 */
	double expectedNanos(TaskSpec task) {
		RunTimeEstimate estimate = this.kinds.get(task.kind());
		if (estimate != null) {
			return estimate.meanNanos();
		}
		return (this.all.sampleCount() > 0) ? this.all.meanNanos() : declaredNanos(task);
	}

	/**
	 * Returns the run time to expect of any task of the service.
	 * @return the mean run time in nanoseconds
	 */
	double meanNanos() {
		return (this.all.sampleCount() > 0) ? this.all.meanNanos() : this.priorNanos;
	}

	/**
	 * Returns the run time that hardly any task of the service exceeds.
	 * @return the run time in nanoseconds
	 */
	double tailNanos() {
		return (this.all.sampleCount() > 0) ? this.all.tailNanos() : (this.priorNanos * PRIOR_TAIL_FACTOR);
	}

	/**
	 * Returns whether enough was learnt to judge endpoints by it.
	 * @return {@code true} if so
	 */
	boolean trusted() {
		return this.all.sampleCount() >= TRUSTED_SAMPLE_COUNT;
	}

	/**
	 * Compares a run time with what is usual for its kind.
	 * @param kind the kind of the task
	 * @param runTimeNanos its run time in nanoseconds
	 * @return the ratio; 1 if too little was learnt
	 */
	double ratio(String kind, long runTimeNanos) {
		RunTimeEstimate estimate = this.kinds.get(kind);
		if (estimate == null || estimate.sampleCount() < TRUSTED_SAMPLE_COUNT) {
			return 1;
		}
		return Math.max(1, runTimeNanos) / Math.max(1, estimate.meanNanos());
	}

	private double declaredNanos(TaskSpec task) {
		if (task.declaredRunTimeMillis() <= 0) {
			return this.priorNanos;
		}
		double declaredNanos = task.declaredRunTimeMillis() * Times.NANOS_PER_MILLI;
		return Math.max(this.priorNanos / PRIOR_RANGE, Math.min(this.priorNanos * PRIOR_RANGE, declaredNanos));
	}

}
