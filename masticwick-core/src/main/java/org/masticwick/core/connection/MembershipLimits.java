package org.masticwick.core.connection;

import java.util.concurrent.TimeUnit;

/**
 * Limits after which peers are suspected, given up and forgotten.
 *
 * @param suspectAfterMillis how old a heartbeat may be before its sender is suspect, in
 * milliseconds
 * @param lostAfterMillis how old a heartbeat may be before its sender is lost, in
 * milliseconds
 * @param summarySuspectAfterMillis as {@code suspectAfterMillis}, for peers known by
 * summaries
 * @param summaryLostAfterMillis as {@code lostAfterMillis}, for peers known by summaries
 * @param departedAfterMillis after how long a lost peer that the platform no longer lists
 * is left out of what operators see, in milliseconds
 * @param evictAfterMillis after how long a lost peer is forgotten, in milliseconds
 * @param maxPeerCount how many peers are remembered
 */
public record MembershipLimits(long suspectAfterMillis, long lostAfterMillis, long summarySuspectAfterMillis,
		long summaryLostAfterMillis, long departedAfterMillis, long evictAfterMillis, int maxPeerCount) {

	private static final MembershipLimits DEFAULTS = new MembershipLimits(2_500, 5_000, 15_000, 30_000,
			TimeUnit.MINUTES.toMillis(1), TimeUnit.MINUTES.toMillis(20), 1_024);

	/**
	 * Returns the limits that go with the default intervals of heartbeats.
	 * @return the limits
	 */
	public static MembershipLimits defaults() {
		return DEFAULTS;
	}

	Liveness liveness(PeerSource source, long ageMillis) {
		boolean summary = source == PeerSource.SUMMARY;
		if (ageMillis > (summary ? this.summaryLostAfterMillis : this.lostAfterMillis)) {
			return Liveness.LOST;
		}
		if (ageMillis > (summary ? this.summarySuspectAfterMillis : this.suspectAfterMillis)) {
			return Liveness.SUSPECT;
		}
		return Liveness.ALIVE;
	}

}
