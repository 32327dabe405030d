package org.masticwick.core.connection;

/**
 * The source of the information about a peer.
 */
public enum PeerSource {

	/** The peer's hello on a connection; its status is unknown. */
	HELLO,

	/** The peer's own heartbeat. */
	HEARTBEAT,

	/** A summary that another host sent. */
	SUMMARY

}
