package org.masticwick.core.pool;

import java.util.List;

/**
 * What a caller submits.
 *
 * @param jobId the identity chosen by the caller; a submission with the same one is the
 * same job
 * @param payload what each task is given to run
 * @param steps the steps
 */
public record JobSpec(String jobId, String payload, List<StepSpec> steps) {

	/**
	 * Copies the list.
	 */
	public JobSpec {
		steps = List.copyOf(steps);
	}

	/**
	 * Returns the number of tasks of all steps.
	 * @return the number
	 */
	public long taskCount() {
		return this.steps.stream().mapToLong(StepSpec::taskCount).sum();
	}

}
