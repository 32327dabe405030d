package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * Tells which tasks certainly cannot be placed in one scheduling pass: those that need
 * more than the endpoint with the most free capacity has, and those that need at least as
 * much as a task that could not be placed. This keeps a pass short under overload, when
 * hundreds of jobs wait and all endpoints are full.
 */
final class PlacementFailures {

	private final List<Failure> failures = new ArrayList<>();

	private Resources largestFree;

	/**
	 * Creates the record of a new pass.
	 * @param largestFree the most of each resource that any endpoint has free
	 */
	PlacementFailures(Resources largestFree) {
		this.largestFree = largestFree;
	}

	/**
	 * Replaces the bound on free capacity, after tasks were placed.
	 * @param newLargestFree the most of each resource that any endpoint has free
	 */
	void largestFree(Resources newLargestFree) {
		this.largestFree = newLargestFree;
	}

	/**
	 * Returns whether a task certainly cannot be placed in this pass.
	 * @param task the task
	 * @return whether no endpoint has enough free capacity, or a task that needs no more
	 * could not be placed
	 */
	boolean covers(PooledTask task) {
		return !this.largestFree.fits(task.step().reserved())
				|| this.failures.stream().anyMatch((failure) -> failure.covers(task));
	}

	/**
	 * Adds a task that could not be placed.
	 * @param task the task
	 * @param isolated whether it would not share an endpoint, so that others may find
	 * room where it did not
	 */
	void add(PooledTask task, boolean isolated) {
		this.failures.add(new Failure(task.job().terms().service(), task.step(), isolated));
	}

	int count() {
		return this.failures.size();
	}

	private record Failure(String service, StepSpec step, boolean isolated) {

		private boolean covers(PooledTask task) {
			StepSpec other = task.step();
			return appliesToOtherTasks() && this.service.equals(task.job().terms().service())
					&& this.step.requiredLabel().equals(other.requiredLabel())
					&& other.reserved().fits(this.step.reserved());
		}

		// A failure because of a limit per endpoint, of traits or of isolation does not
		// apply to other tasks.
		private boolean appliesToOtherTasks() {
			return !this.isolated && this.step.maxPerEndpoint() == 0 && this.step.traits().equals(StepTraits.DEFAULT);
		}

	}

}
