package org.masticwick.core.pool;

import java.util.List;

/**
 * Describes tasks of a job that are alike.
 *
 * @param taskCount the number of tasks
 * @param demand what each task takes
 * @param estimatedMillis the caller's rough estimate of a task's run time in milliseconds
 * @param predecessors the numbers of the steps that must be done first
 * @param requiredLabel the label that an endpoint must have, or an empty string
 * @param dataRack the label of the rack that holds the data, or an empty string
 * @param maxPerEndpoint how many tasks of the step may run on one endpoint, or 0 for any
 * number
 * @param traits how the tasks run
 */
public record StepSpec(int taskCount, Resources demand, long estimatedMillis, List<Integer> predecessors,
		String requiredLabel, String dataRack, int maxPerEndpoint, StepTraits traits) {

	/**
	 * Copies the list.
	 */
	public StepSpec {
		predecessors = List.copyOf(predecessors);
	}

	/**
	 * Creates a step whose tasks run by themselves to their end.
	 * @param taskCount the number of tasks
	 * @param demand what each task takes
	 * @param estimatedMillis the caller's rough estimate of a task's run time in
	 * milliseconds
	 * @param predecessors the numbers of the steps that must be done first
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
	 * Returns what a task takes of an endpoint that is set aside for it.
	 * @return the resources
	 */
	public Resources reserved() {
		return this.traits.backfill() ? new Resources(0, this.demand.memoryMegabytes(), this.demand.gpuCount())
				: this.demand;
	}

}
