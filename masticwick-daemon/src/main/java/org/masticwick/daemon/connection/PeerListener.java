package org.masticwick.daemon.connection;

import org.masticwick.core.connection.PeerView;
import org.masticwick.core.process.EntryHost;

/**
 * Listener for reports, losses and replacements of peers. Its methods are called on
 * threads of the transport and of the heartbeat service, and must not block.
 */
public interface PeerListener {

	/**
	 * Called when a new report of a peer, which may include its load, was recorded.
	 * @param peer the peer with its new status
	 */
	default void peerReported(PeerView peer) {
	}

	/**
	 * Called when a peer reports a newer version, or a higher offset in the log, than
	 * this host has. Called again for each report until this host has caught up.
	 * @param peer the peer, from which records can be requested
	 */
	default void peerAhead(PeerView peer) {
	}

	/**
	 * Called when the last contact with a peer is so long ago that the peer counts as
	 * lost.
	 * @param peer the peer
	 */
	default void peerLost(PeerView peer) {
	}

	/**
	 * Called when an incarnation of a peer has terminated, which shows by another
	 * incarnation at its address.
	 * @param terminatedHost the terminated incarnation
	 * @param successor the incarnation that replaced it
	 */
	default void peerReplaced(EntryHost terminatedHost, PeerView successor) {
	}

}
