package org.masticwick.fleet.process;

import java.util.Optional;

import org.masticwick.core.process.HostAddress;

/**
 * Decides when a host asks a peer for a version that it has not read from the shared log,
 * and whom. It asks one peer at a time: a version may be hundreds of kilobytes long,
 * which is a large part of a second on the link of a small host.
 */
final class VersionPull {

	/** How long the shared log may take to bring a version first. */
	private static final long LOG_GRACE_MILLIS = 250;

	/** After how long without an answer another peer is asked. */
	private static final long RETRY_MILLIS = 800;

	private HostAddress newestVersionPeer;

	private long newestVersionNumber;

	private long behindSinceMillis = -1;

	private long requestedMillis = Long.MIN_VALUE / 2;

	/**
	 * Takes note of the version that a peer has.
	 * @param peer the peer
	 * @param versionNumber the number of its version
	 * @param ownVersionNumber the number of the own version
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
	 * Decides whether to ask now.
	 * @param ownVersionNumber the number of the own version
	 * @param nowMillis the time in milliseconds
	 * @return whom to ask, or empty
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
