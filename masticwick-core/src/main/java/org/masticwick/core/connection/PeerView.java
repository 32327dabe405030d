package org.masticwick.core.connection;

import org.masticwick.core.process.EntryHost;

/**
 * Snapshot of a peer at one point in time.
 *
 * @param host the peer
 * @param status the status that the peer reported
 * @param liveness the liveness of the peer
 * @param ageMillis the age of the information about the peer, in milliseconds
 * @param source the source of the status
 * @param sequence the sequence number of the heartbeat that the status comes from, -1 if
 * there was none
 */
public record PeerView(EntryHost host, PeerStatus status, Liveness liveness, long ageMillis, PeerSource source,
		long sequence) {

	/**
	 * Returns whether the peer serves requests.
	 * @return {@code true} if the peer is alive, ready and not leaving
	 */
	public boolean isServing() {
		return this.liveness == Liveness.ALIVE && this.status.ready() && !this.status.leaving();
	}

}
