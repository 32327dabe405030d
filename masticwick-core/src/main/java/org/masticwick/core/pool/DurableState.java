package org.masticwick.core.pool;

/**
 * The state of a durable job as stored in the shared log.
 */
public enum DurableState {

	/** Not all tasks are done. */
	ACTIVE,

	/** All its tasks are done. */
	COMPLETED,

	/** A task failed in all its attempts. */
	FAILED,

	/** A caller cancelled the job. */
	CANCELLED

}
