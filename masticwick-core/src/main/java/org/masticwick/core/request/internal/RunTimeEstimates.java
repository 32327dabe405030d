package org.masticwick.core.request.internal;

import java.util.HashMap;
import java.util.Map;

import org.masticwick.core.request.TaskSpec;

/**
 * Learns the run times of a service by kind of task. Declared run times count only as
 * long as nothing was learnt, and within bounds.
 */
final class RunTimeEstimates {

	private static final int MAX_KIND_COUNT = 512;

	private static final int MIN_RELIABLE_SAMPLE_COUNT = 20;

	private static final double MAX_DECLARED_TO_PRIOR_RATIO = 4;

	private static final double PRIOR_TAIL_FACTOR = 4;

	private final Map<String, RunTimeEstimate> estimatesByKind = new HashMap<>();

	private final RunTimeEstimate overall = new RunTimeEstimate();

	private final double priorNanos;

	/**
	 * Creates an object that has learnt nothing.
	 * @param priorNanos the run time to expect of anything, in nanoseconds
	 */
	RunTimeEstimates(double priorNanos) {
		this.priorNanos = priorNanos;
	}

	/**
	 * Takes in the run time of a task.
	 * @param kind the kind of the task
	 * @param runTimeNanos its run time in nanoseconds
	 */
	void addSample(String kind, long runTimeNanos) {
		this.overall.addSample(runTimeNanos);
		RunTimeEstimate estimate = this.estimatesByKind.get(kind);
		if (estimate == null && this.estimatesByKind.size() < MAX_KIND_COUNT) {
			estimate = new RunTimeEstimate();
			this.estimatesByKind.put(kind, estimate);
		}
		if (estimate != null) {
			estimate.addSample(runTimeNanos);
		}
	}

	/**
	 * Returns the run time to expect of a task.
	 * @param task the task
	 * @return the run time in nanoseconds
	 */
	double expectedNanos(TaskSpec task) {
		RunTimeEstimate estimate = this.estimatesByKind.get(task.kind());
		if (estimate != null) {
			return estimate.meanNanos();
		}
		return (this.overall.sampleCount() > 0) ? this.overall.meanNanos() : declaredNanos(task);
	}

	/**
	 * Returns the run time to expect of any task of the service.
	 * @return the mean run time in nanoseconds
	 */
	double meanNanos() {
		return (this.overall.sampleCount() > 0) ? this.overall.meanNanos() : this.priorNanos;
	}

	/**
	 * Returns the run time that hardly any task of the service exceeds.
	 * @return the run time in nanoseconds
	 */
	double tailNanos() {
		return (this.overall.sampleCount() > 0) ? this.overall.tailNanos() : (this.priorNanos * PRIOR_TAIL_FACTOR);
	}

	/**
	 * Returns whether enough was learnt to judge endpoints by it.
	 * @return {@code true} if so
	 */
	boolean reliable() {
		return this.overall.sampleCount() >= MIN_RELIABLE_SAMPLE_COUNT;
	}

	/**
	 * Compares a run time with what is usual for its kind.
	 * @param kind the kind of the task
	 * @param runTimeNanos its run time in nanoseconds
	 * @return the ratio; 1 if too little was learnt
	 */
	double slowness(String kind, long runTimeNanos) {
		RunTimeEstimate estimate = this.estimatesByKind.get(kind);
		if (estimate == null || estimate.sampleCount() < MIN_RELIABLE_SAMPLE_COUNT) {
			return 1;
		}
		return Math.max(1, runTimeNanos) / Math.max(1, estimate.meanNanos());
	}

	private double declaredNanos(TaskSpec task) {
		if (task.declaredRunTimeMillis() <= 0) {
			return this.priorNanos;
		}
		double declaredNanos = task.declaredRunTimeMillis() * TimeMath.NANOS_PER_MILLI;
		return Math.max(this.priorNanos / MAX_DECLARED_TO_PRIOR_RATIO,
				Math.min(this.priorNanos * MAX_DECLARED_TO_PRIOR_RATIO, declaredNanos));
	}

}
