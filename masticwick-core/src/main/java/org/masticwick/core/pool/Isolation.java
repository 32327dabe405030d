package org.masticwick.core.pool;

/**
 * How far a task is kept apart from other tasks, because it may crash its endpoint.
 */
enum Isolation {

	/** The task shares endpoints like any other. */
	NONE,

	/** The task gets an endpoint without other runs, if one is free. */
	PREFERRED,

	/** The task waits for an endpoint without other runs. */
	REQUIRED

}
