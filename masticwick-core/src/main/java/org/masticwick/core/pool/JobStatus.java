package org.masticwick.core.pool;

/**
 * The status of a durable job as returned to callers.
 */
public enum JobStatus {

	/** No task has started. */
	PENDING,

	/** At least one task has started. */
	RUNNING,

	/** All tasks are done. */
	COMPLETED,

	/** A task failed in all its attempts. */
	FAILED,

	/** A caller cancelled the job. */
	CANCELLED

}
