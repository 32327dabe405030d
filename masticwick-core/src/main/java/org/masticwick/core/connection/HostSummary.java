package org.masticwick.core.connection;

import org.masticwick.core.process.EntryHost;

/**
 * Status of one entry host as a host of its failure domain sends it to other failure
 * domains.
 *
 * @param host the entry host
 * @param sequence the sequence number of the heartbeat that the status comes from, -1 if
 * no heartbeat was received
 * @param status the status that the host reported, without load; {@code null} if it is
 * omitted since the receiver got it in a previous summary
 * @param statusDigest the digest of the status, by which a receiver checks that the
 * status it already holds is still the same
 * @param ageMillis the age of the status when the summary was created, in milliseconds
 */
public record HostSummary(EntryHost host, long sequence, PeerStatus status, int statusDigest, long ageMillis) {

	/**
	 * Creates the summary of a host with its status, but without its load.
	 * @param host the entry host
	 * @param sequence the sequence number of the heartbeat
	 * @param status the status that the host reported
	 * @param ageMillis the age of the status, in milliseconds
	 * @return the summary
	 */
	public static HostSummary of(EntryHost host, long sequence, PeerStatus status, long ageMillis) {
		return new HostSummary(host, sequence, status.withLoad(PeerStatus.NO_LOAD), status.digest(), ageMillis);
	}

	/**
	 * Returns this summary for receivers that got the same status in a previous summary.
	 * @return the summary without the status
	 */
	public HostSummary withoutStatus() {
		return new HostSummary(this.host, this.sequence, null, this.statusDigest, this.ageMillis);
	}

}
