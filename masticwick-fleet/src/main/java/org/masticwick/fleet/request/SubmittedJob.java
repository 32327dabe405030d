package org.masticwick.fleet.request;

import java.util.List;

import org.masticwick.core.pool.JobSchedule;
import org.masticwick.core.pool.StepSpec;

/**
 * The body of a submission.
 *
 * @param payload what each task is given to run
 * @param steps the steps
 * @param synchronous whether the caller waits for the end of the job, which then needs
 * not be stored
 * @param schedule when the steps run
 * @param unsupportedFeatures what the job asks for that this host does not offer; empty
 * if nothing
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
