package org.masticwick.core.request;

/**
 * Whether an endpoint accepts new tasks.
 */
public enum EndpointState {

	/** The endpoint accepts tasks. */
	LIVE,

	/** The endpoint completes its running tasks and refuses new ones. */
	LEAVING,

	/** The endpoint no longer exists. */
	GONE

}
