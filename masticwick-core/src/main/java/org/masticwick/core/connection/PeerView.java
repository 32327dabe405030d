package org.masticwick.core.connection;

import org.masticwick.core.process.EntryHost;

/**
 * Shows what is known of a peer at one moment.
 *
 * @param host the peer
 * @param status what the peer said of itself
 * @param liveness whether the peer is thought to run
 * @param ageMillis how old the knowledge is, in milliseconds
 * @param source where the knowledge comes from
 * @param sequence the sequence number of the heartbeat that the knowledge comes from, -1
 * if it comes from none
 */
public record PeerView(EntryHost host, PeerStatus status, Liveness liveness, long ageMillis, PeerSource source,
		long sequence) {

	/**
	 * Returns whether the peer runs and stays.
	 * @return {@code true} if the peer is alive, ready and not leaving
	 */
	public boolean isServing() {
		return this.liveness == Liveness.ALIVE && this.status.ready() && !this.status.leaving();
	}

}
