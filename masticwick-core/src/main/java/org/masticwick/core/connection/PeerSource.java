package org.masticwick.core.connection;

/**
 * Tells where the knowledge of a peer comes from.
 */
public enum PeerSource {

	/** The peer said hello, and nothing of its status is known. */
	HELLO,

	/** The peer's own heartbeat. */
	HEARTBEAT,

	/** A summary that another host made. */
	SUMMARY

}
