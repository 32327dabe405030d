package org.masticwick.core.connection;

import org.masticwick.core.process.EntryHost;

/**
 * Tells other failure domains of one entry host, as its neighbours know it.
 *
 * @param host the entry host
 * @param sequence the sequence number of the heartbeat that the knowledge comes from, -1
 * if it comes from none
 * @param status what the host said of itself, without load; {@code null} if it was told
 * before
 * @param statusDigest the digest of the status, for those to whom it was told before
 * @param ageMillis how old the knowledge was when the summary was made, in milliseconds
 */
public record HostSummary(EntryHost host, long sequence, PeerStatus status, int statusDigest, long ageMillis) {

	/**
	 * Creates the summary of a host with its status.
	 * @param host the entry host
	 * @param sequence the sequence number of the heartbeat
	 * @param status what the host said of itself
	 * @param ageMillis how old the knowledge is, in milliseconds
	 * @return the summary
	 */
	public static HostSummary of(EntryHost host, long sequence, PeerStatus status, long ageMillis) {
		return new HostSummary(host, sequence, status.withLoad(PeerStatus.NO_LOAD), status.digest(), ageMillis);
	}

	/**
	 * Returns this summary for those to whom the status was told before.
	 * @return the summary without the status
	 */
	public HostSummary withoutStatus() {
		return new HostSummary(this.host, this.sequence, null, this.statusDigest, this.ageMillis);
	}

}
