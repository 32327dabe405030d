package org.masticwick.core.connection;

/**
 * Tells whether a peer is thought to run.
 */
public enum Liveness {

	/** The peer was heard of lately. */
	ALIVE,

	/** The peer is overdue, or its connection has closed. */
	SUSPECT,

	/** The peer has not been heard of for so long that no work should wait for it. */
	LOST

}
