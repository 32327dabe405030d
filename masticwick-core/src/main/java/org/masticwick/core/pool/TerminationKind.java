package org.masticwick.core.pool;

/**
 * Tells how a run ended.
 */
public enum TerminationKind {

	/** The task did its work. */
	DONE,

	/** The task failed, by its own fault or the endpoint's. */
	FAILED,

	/** It was stopped on request. */
	STOPPED,

	/** The lease of the endpoint ran out. */
	LAPSED,

	/** Another member of its group ended. */
	BROKEN,

	/** It waited for the other members of its group in vain. */
	ALONE,

	/** The endpoint lost it, as it crashed or never had it. */
	LOST

}
