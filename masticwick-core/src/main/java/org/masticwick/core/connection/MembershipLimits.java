package org.masticwick.core.connection;

import java.util.concurrent.TimeUnit;

/**
 * Ages of the information about a peer above which the peer is suspect, lost and evicted,
 * and the maximum number of peers.
 *
 * @param suspectAfterMillis the age of the last heartbeat above which its sender is
 * suspect, in milliseconds; before the first heartbeat, the age of the hello counts
 * @param lostAfterMillis the age of the last heartbeat above which its sender is lost, in
 * milliseconds; before the first heartbeat, the age of the hello counts
 * @param summarySuspectAfterMillis as {@code suspectAfterMillis}, for peers whose status
 * comes from a summary
 * @param summaryLostAfterMillis as {@code lostAfterMillis}, for peers whose status comes
 * from a summary; also the age above which the load of a failure domain is ignored
 * @param departedAfterMillis the age of the information above which a lost peer that is
 * missing from the platform's host list is omitted from reports to operators, in
 * milliseconds
 * @param evictAfterMillis the age of the information above which a peer is evicted, in
 * milliseconds
 * @param maxPeerCount the maximum number of peers
 */
public record MembershipLimits(long suspectAfterMillis, long lostAfterMillis, long summarySuspectAfterMillis,
		long summaryLostAfterMillis, long departedAfterMillis, long evictAfterMillis, int maxPeerCount) {

	private static final MembershipLimits DEFAULTS = new MembershipLimits(2_500, 5_000, 15_000, 30_000,
			TimeUnit.MINUTES.toMillis(1), TimeUnit.MINUTES.toMillis(20), 1_024);

	/**
	 * Returns the limits for the default heartbeat interval.
	 * @return the limits
	 */
	public static MembershipLimits defaults() {
		return DEFAULTS;
	}

	Liveness liveness(PeerSource source, long ageMillis) {
		boolean fromSummary = source == PeerSource.SUMMARY;
		if (ageMillis > (fromSummary ? this.summaryLostAfterMillis : this.lostAfterMillis)) {
			return Liveness.LOST;
		}
		if (ageMillis > (fromSummary ? this.summarySuspectAfterMillis : this.suspectAfterMillis)) {
			return Liveness.SUSPECT;
		}
		return Liveness.ALIVE;
	}

}
