package org.masticwick.core.pool;

/**
 * What callers are told of a durable job.
 */
public enum JobStatus {

	/** No task has started. */
	PENDING,

	/** Some task has started. */
	RUNNING,

	/** All tasks are done. */
	COMPLETED,

	/** A task failed as often as it may. */
	FAILED,

	/** A caller cancelled it. */
	CANCELLED

}
