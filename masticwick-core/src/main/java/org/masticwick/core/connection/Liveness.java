package org.masticwick.core.connection;

/**
 * Liveness of a peer, as judged from the age of the information about it and from closed
 * connections.
 */
public enum Liveness {

	/** The peer's last heartbeat, hello or summary is recent. */
	ALIVE,

	/** The peer's heartbeat is overdue, or its connection has closed. */
	SUSPECT,

	/** The information about the peer is so old that no work should wait for the peer. */
	LOST

}
