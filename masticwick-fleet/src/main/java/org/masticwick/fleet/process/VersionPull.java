package org.masticwick.fleet.process;

import java.util.Optional;

import org.masticwick.core.process.HostAddress;

/**
 * Decides when a host fetches a version from a peer that it has not read from the log,
 * and from which peer. It asks one peer at a time: a version may be hundreds of kilobytes
 * long, which takes a large part of a second on the network link of a small host.
 */
final class VersionPull {

	/**
	 * How long a host waits for a version to arrive from the log before it asks a peer.
	 */
	private static final long LOG_GRACE_MILLIS = 250;

	/** After how long without the version a peer is asked again. */
	private static final long RETRY_MILLIS = 800;

	private HostAddress newestVersionPeer;

	private long newestVersionNumber;

	private long behindSinceMillis = -1;

	private long requestedMillis = Long.MIN_VALUE / 2;

	/**
	 * Records the active version of a peer. One that is not newer than that of this host
	 * is ignored.
	 * @param peer the address of the peer
	 * @param versionNumber the number of its version
	 * @param ownVersionNumber the number of this host's version
	 * @param nowMillis the time in milliseconds
	 */
	void recordPeerVersion(HostAddress peer, long versionNumber, long ownVersionNumber, long nowMillis) {
		if (versionNumber <= ownVersionNumber) {
			return;
		}
		if (this.behindSinceMillis < 0) {
			this.behindSinceMillis = nowMillis;
		}
		if (versionNumber >= this.newestVersionNumber) {
			this.newestVersionNumber = versionNumber;
			this.newestVersionPeer = peer;
		}
	}

	/**
	 * Returns the peer to fetch a version from now. A returned peer counts as asked,
	 * which delays the next request.
	 * @param ownVersionNumber the number of this host's version
	 * @param nowMillis the time in milliseconds
	 * @return the address of the peer, or empty to wait
	 */
	Optional<HostAddress> peerToAsk(long ownVersionNumber, long nowMillis) {
		if (this.newestVersionNumber <= ownVersionNumber) {
			this.behindSinceMillis = -1;
			return Optional.empty();
		}
		boolean waitForLog = this.behindSinceMillis < 0 || nowMillis - this.behindSinceMillis < LOG_GRACE_MILLIS;
		if (waitForLog || nowMillis - this.requestedMillis < RETRY_MILLIS) {
			return Optional.empty();
		}
		this.requestedMillis = nowMillis;
		return Optional.of(this.newestVersionPeer);
	}

}
