package org.masticwick.core.pool;

import java.util.List;

/**
 * The specification of a job as submitted by a caller.
 *
 * @param jobId the id chosen by the caller; a submission with the same id is the same job
 * @param payload the payload that each task receives
 * @param steps the steps
 * @param durable whether the job is stored until it has finished, even if hosts are lost;
 * otherwise its caller waits for the answer
 * @param schedule the times at which the job runs
 */
public record JobSpec(String jobId, String payload, List<StepSpec> steps, boolean durable, JobSchedule schedule) {

	/**
	 * Copies the list, so that the record is immutable.
	 */
	public JobSpec {
		steps = List.copyOf(steps);
	}

	/**
	 * Creates a job whose caller waits for the answer.
	 * @param jobId the id chosen by the caller
	 * @param payload the payload that each task receives
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
