package org.masticwick.core.request.internal;

import java.util.HashMap;
import java.util.Map;

import org.masticwick.core.request.TaskSpec;

/**
 * Estimates the run times of a service by kind of task. A declared run time is used only
 * while there are no samples, and is limited to a range around the prior estimate.
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
	 * Creates estimates without samples.
	 * @param priorNanos the run time to expect of a task without samples, in nanoseconds
	 */
	RunTimeEstimates(double priorNanos) {
		this.priorNanos = priorNanos;
	}

	/**
	 * Adds the run time of a task that succeeded.
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
	 * Returns a high quantile of the run times of the service.
	 * @return the run time in nanoseconds
	 */
	double tailNanos() {
		return (this.overall.sampleCount() > 0) ? this.overall.tailNanos() : (this.priorNanos * PRIOR_TAIL_FACTOR);
	}

	/**
	 * Returns whether there are enough samples to compare endpoints by them.
	 * @return {@code true} if so
	 */
	boolean reliable() {
		return this.overall.sampleCount() >= MIN_RELIABLE_SAMPLE_COUNT;
	}

	/**
	 * Returns a run time relative to the mean of its kind of task.
	 * @param kind the kind of the task
	 * @param runTimeNanos its run time in nanoseconds
	 * @return the ratio; 1 if there are too few samples of the kind
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
