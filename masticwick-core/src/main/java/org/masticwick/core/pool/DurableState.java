package org.masticwick.core.pool;

/**
 * The state of a durable job as kept in the shared log.
 */
public enum DurableState {

	/** Not all its tasks have ended. */
	ACTIVE,

	/** All its tasks are done. */
	COMPLETED,

	/** A task failed as often as it may. */
	FAILED,

	/** A caller cancelled it. */
	CANCELLED

}
