package org.masticwick.core.pool;

/**
 * The reason why an endpoint did not start a run.
 */
public enum StartRefusal {

	/** Another owner with a higher fencing token controls the endpoint. */
	FENCED,

	/** This run or a later one of the task has already terminated there. */
	STALE_RUN,

	/** The lease in the start request had expired on arrival. */
	EXPIRED,

	/** The endpoint has no free capacity. */
	NO_CAPACITY,

	/** The endpoint reports that it cannot accept tasks now. */
	UNHEALTHY,

	/** Another incarnation of the endpoint answers at this address. */
	WRONG_INCARNATION,

	/** The start request is malformed. */
	INVALID,

	/** The connection failed before the start request was sent. */
	NOT_SENT

}
