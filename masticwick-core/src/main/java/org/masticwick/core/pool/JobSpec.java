package org.masticwick.core.pool;

import java.util.List;

/**
 * What a caller submits.
 *
 * @param jobId the identity chosen by the caller; a submission with the same one is the
 * same job
 * @param payload what each task is given to run
 * @param steps the steps
 * @param durable whether the job is kept until it has ended, whatever host is lost; else
 * its caller waits for the answer
 * @param schedule when the steps run
 */
public record JobSpec(String jobId, String payload, List<StepSpec> steps, boolean durable, JobSchedule schedule) {

	/**
	 * Copies the list.
	 */
	public JobSpec {
		steps = List.copyOf(steps);
	}

	/**
	 * Creates a job whose caller waits for the answer.
	 * @param jobId the identity chosen by the caller
	 * @param payload what each task is given to run
	 * @param steps the steps
	 */
	public JobSpec(String jobId, String payload, List<StepSpec> steps) {
		this(jobId, payload, steps, false, JobSchedule.IMMEDIATE);
	}

	/**
	 * Returns the number of tasks of all steps.
	 * @return the number
	 */
	public long taskCount() {
		return this.steps.stream().mapToLong(StepSpec::taskCount).sum();
	}

}
