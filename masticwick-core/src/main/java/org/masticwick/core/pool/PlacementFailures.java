package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * Records the tasks that could not be placed in one scheduling pass, so that tasks that
 * need at least as much are not tried again. This keeps a pass short while many jobs
 * wait.
 */
final class PlacementFailures {

	private final List<Failure> failures = new ArrayList<>();

	/**
	 * Returns whether a task certainly cannot be placed in this pass.
	 * @param task the task
	 * @return whether a task that needs no more could not be placed
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

		// A failure because of a limit per endpoint or of traits does not apply to other
		// tasks.
		private boolean appliesToOtherTasks() {
			return this.step.maxPerEndpoint() == 0 && this.step.traits().equals(StepTraits.DEFAULT);
		}

	}

}
