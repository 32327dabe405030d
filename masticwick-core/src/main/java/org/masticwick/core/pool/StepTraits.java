package org.masticwick.core.pool;

/**
 * How the tasks of a step run, apart from what they take.
 *
 * @param gang whether they work only together, from when all of them are there
 * @param longRunning whether they run until the job is cancelled
 * @param backfill whether they take the processor that others leave unused, so that none
 * is set aside for them
 * @param serving whether they serve users of their own, whom backfill would disturb
 */
public record StepTraits(boolean gang, boolean longRunning, boolean backfill, boolean serving) {

	/** Tasks that run by themselves to their end. */
	public static final StepTraits DEFAULT = new StepTraits(false, false, false, false);

}
