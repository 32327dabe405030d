package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * Remembers for one round of starts what had no place, so that what needs as much or more
 * is not tried again. That keeps a round short while many jobs wait.
 */
final class PlacementFailures {

	private final List<Failure> failures = new ArrayList<>();

	/**
	 * Returns whether a task certainly has no place.
	 * @param task the task
	 * @return whether one that needs no more had none
	 */
	boolean covers(PooledTask task) {
		return this.failures.stream().anyMatch((failure) -> failure.covers(task));
	}

	void add(PooledTask task) {
		this.failures.add(new Failure(task.job().terms().service(), task.step()));
	}

	int count() {
		return this.failures.size();
	}

	private record Failure(String service, StepSpec step) {

		private boolean covers(PooledTask task) {
			StepSpec other = task.step();
			return appliesToOtherTasks() && this.service.equals(task.job().terms().service())
					&& this.step.requiredLabel().equals(other.requiredLabel())
					&& other.reserved().fits(this.step.reserved());
		}

		// A miss for a reason of its own says nothing of other tasks.
		private boolean appliesToOtherTasks() {
			return this.step.maxPerEndpoint() == 0 && this.step.traits().equals(StepTraits.DEFAULT);
		}

	}

}
