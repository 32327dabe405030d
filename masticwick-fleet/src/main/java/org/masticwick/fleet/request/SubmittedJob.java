package org.masticwick.fleet.request;

import java.util.List;

import org.masticwick.core.pool.JobSchedule;
import org.masticwick.core.pool.StepSpec;

/**
 * A job as a caller submits it.
 *
 * @param payload the payload that each task receives
 * @param steps the steps
 * @param synchronous whether the caller waits until the job has completed or failed; such
 * a job need not be stored durably
 * @param schedule when the job runs
 * @param unsupportedFeatures the requested features that this host does not support; a
 * job with any is refused
 */
public record SubmittedJob(String payload, List<StepSpec> steps, boolean synchronous, JobSchedule schedule,
		List<String> unsupportedFeatures) {

	/**
	 * Copies the lists.
	 */
	public SubmittedJob {
		steps = List.copyOf(steps);
		unsupportedFeatures = List.copyOf(unsupportedFeatures);
	}

}
