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
	private static final long PATIENCE_MILLIS = 250;

	/** After how long without an answer another peer is asked. */
	private static final long RETRY_MILLIS = 800;

	private HostAddress newestHolder;

	private long newestNumber;

	private long behindSinceMillis = -1;

	private long askedMillis = Long.MIN_VALUE / 2;

	/**
	 * Takes note of the version that a peer has.
	 * @param peer the peer
	 * @param number the number of its version
	 * @param ownNumber the number of the own version
	 * @param nowMillis the time in milliseconds
	 */
	void told(HostAddress peer, long number, long ownNumber, long nowMillis) {
		if (number <= ownNumber) {
			return;
		}
		if (this.behindSinceMillis < 0) {
			this.behindSinceMillis = nowMillis;
		}
		if (number >= this.newestNumber) {
			this.newestNumber = number;
			this.newestHolder = peer;
		}
	}

	/**
	 * Decides whether to ask now.
	 * @param ownNumber the number of the own version
	 * @param nowMillis the time in milliseconds
	 * @return whom to ask, or empty
	 */
	Optional<HostAddress> next(long ownNumber, long nowMillis) {
		if (this.newestNumber <= ownNumber) {
			this.behindSinceMillis = -1;
			return Optional.empty();
		}
		boolean patient = this.behindSinceMillis < 0 || nowMillis - this.behindSinceMillis < PATIENCE_MILLIS;
		if (patient || nowMillis - this.askedMillis < RETRY_MILLIS) {
			return Optional.empty();
		}
		this.askedMillis = nowMillis;
		return Optional.of(this.newestHolder);
	}

}
