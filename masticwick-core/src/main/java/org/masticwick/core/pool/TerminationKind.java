package org.masticwick.core.pool;

/**
 * How a run terminated.
 */
public enum TerminationKind {

	/** The task completed its work. */
	DONE,

	/** The task failed, because of itself or of the endpoint. */
	FAILED,

	/** The run was stopped on request. */
	STOPPED,

	/** The lease of the endpoint expired. */
	LAPSED,

	/** Another member of the gang terminated. */
	BROKEN,

	/** The other members of the gang did not start in time. */
	ALONE,

	/**
	 * The endpoint lost the run, because it crashed or never received the start request.
	 */
	LOST

}
