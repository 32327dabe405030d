package org.masticwick.core.pool;

/**
 * Why an owner lost the runs on an endpoint.
 */
public enum LossCause {

	/**
	 * The lease of the endpoint has certainly expired, as the endpoint did not answer. It
	 * may have crashed, or may only be unreachable.
	 */
	LEASE_EXPIRED,

	/** The endpoint has crashed: it reports the start of a new incarnation. */
	ENDPOINT_RESTARTED

}
