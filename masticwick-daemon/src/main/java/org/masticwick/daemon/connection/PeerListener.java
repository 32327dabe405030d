package org.masticwick.daemon.connection;

import org.masticwick.core.connection.PeerView;
import org.masticwick.core.process.EntryHost;

/**
 * Hears what happens to peers. The methods are called on threads of the transport and of
 * the heartbeats, and must not block.
 */
public interface PeerListener {

	/**
	 * Takes note that a peer said something new of itself, its load included.
	 * @param peer the peer as it is known now
	 */
	default void peerReported(PeerView peer) {
	}

	/**
	 * Takes note that a peer has a newer version, or has read more of the log, than this
	 * host. It is called with each report until this host has caught up.
	 * @param peer the peer, which can be asked for records
	 */
	default void peerAhead(PeerView peer) {
	}

	/**
	 * Takes note that nothing was heard of a peer for so long that it counts as lost.
	 * @param peer the peer
	 */
	default void peerLost(PeerView peer) {
	}

	/**
	 * Takes note that a run of a peer has ended, since another run has its address.
	 * @param ended the run that has ended
	 * @param successor the peer that runs now
	 */
	default void peerReplaced(EntryHost ended, PeerView successor) {
	}

}
