package org.masticwick.core.request;

/**
 * Tells whether an endpoint takes new work.
 */
public enum EndpointState {

	/** It takes work. */
	LIVE,

	/** It ends the work that it has and takes nothing new. */
	LEAVING,

	/** It is not there any more. */
	GONE

}
