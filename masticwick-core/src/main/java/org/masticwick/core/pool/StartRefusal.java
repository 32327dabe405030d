package org.masticwick.core.pool;

/**
 * Tells why an endpoint did not start a task.
 */
public enum StartRefusal {

	/** Another owner with a higher fencing token orders the endpoint. */
	FENCED,

	/** This run or a later one has already ended there. */
	STALE_RUN,

	/** The lease in the order had run out when it arrived. */
	EXPIRED,

	/** There is no capacity left. */
	NO_CAPACITY,

	/** The endpoint says that it can't take work now. */
	UNHEALTHY,

	/** Another life of the endpoint answers at this address. */
	WRONG_INCARNATION,

	/** The order can't be understood. */
	INVALID,

	/** The connection failed before anything was sent. */
	NOT_SENT

}
