package org.masticwick.core.connection;

/**
 * State of a peer by its last contact, as a failure detector judges it.
 */
public enum Liveness {

	/** The last contact with the peer is recent. */
	ALIVE,

	/** The peer's heartbeat is overdue, or its connection has closed. */
	SUSPECT,

	/** The last contact with the peer is so old that no work should wait for it. */
	LOST

}
