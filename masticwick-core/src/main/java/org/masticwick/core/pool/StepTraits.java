package org.masticwick.core.pool;

/**
 * The traits of the tasks of a step, apart from their demand.
 *
 * @param gang whether the tasks must all run at the same time
 * @param longRunning whether the tasks run until the job is cancelled
 * @param backfill whether the tasks use processor time that others leave unused, so that
 * none is reserved for them
 * @param serving whether the tasks serve users, whom backfill tasks on the same endpoint
 * would slow down
 */
public record StepTraits(boolean gang, boolean longRunning, boolean backfill, boolean serving) {

	/** Independent tasks that run to completion. */
	public static final StepTraits DEFAULT = new StepTraits(false, false, false, false);

}
