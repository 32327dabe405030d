package org.masticwick.core.pool;

import java.util.List;

/**
 * A step of a job: a number of tasks with equal demands.
 *
 * @param taskCount the number of tasks
 * @param demand the resources that each task needs
 * @param estimatedMillis the caller's rough estimate of a task's run time in milliseconds
 * @param predecessors the numbers of the steps that must be done before this one starts
 * @param requiredLabel the label that an endpoint must have, or an empty string
 * @param dataRack the label of the rack that holds the data, or an empty string
 * @param maxPerEndpoint how many tasks of the step may run on one endpoint, or 0 for any
 * number
 * @param traits the traits of the tasks
 */
public record StepSpec(int taskCount, Resources demand, long estimatedMillis, List<Integer> predecessors,
		String requiredLabel, String dataRack, int maxPerEndpoint, StepTraits traits) {

	/**
	 * Copies the list, so that the record is immutable.
	 */
	public StepSpec {
		predecessors = List.copyOf(predecessors);
	}

	/**
	 * Creates a step with the default traits.
	 * @param taskCount the number of tasks
	 * @param demand the resources that each task needs
	 * @param estimatedMillis the caller's rough estimate of a task's run time in
	 * milliseconds
	 * @param predecessors the numbers of the steps that must be done before this one
	 * starts
	 * @param requiredLabel the label that an endpoint must have, or an empty string
	 * @param dataRack the label of the rack that holds the data, or an empty string
	 * @param maxPerEndpoint how many tasks of the step may run on one endpoint, or 0
	 */
	public StepSpec(int taskCount, Resources demand, long estimatedMillis, List<Integer> predecessors,
			String requiredLabel, String dataRack, int maxPerEndpoint) {
		this(taskCount, demand, estimatedMillis, predecessors, requiredLabel, dataRack, maxPerEndpoint,
				StepTraits.DEFAULT);
	}

	/**
	 * Returns the resources that are reserved on an endpoint for a task. Backfill tasks
	 * reserve no processor.
	 * @return the resources
	 */
	public Resources reserved() {
		return this.traits.backfill() ? new Resources(0, this.demand.memoryMegabytes(), this.demand.gpuCount())
				: this.demand;
	}

}
