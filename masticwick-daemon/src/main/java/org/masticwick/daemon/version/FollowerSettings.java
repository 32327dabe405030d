package org.masticwick.daemon.version;

import java.time.Duration;

/**
 * Bounds how the log is followed.
 *
 * @param pollWait how long the log holds a read while there is nothing new
 * @param minBackoff the first delay after a failure
 * @param maxBackoff the longest delay after failures
 * @param restoreSpread over which time hosts spread that find the log behind
 * @param checkInterval how often to check that the log still holds what was read last
 * @param snapshotInterval how old the newest snapshot may be; a small part of how long
 * the log keeps records
 * @param snapshotRecordCount how many records may follow the newest snapshot
 */
public record FollowerSettings(Duration pollWait, Duration minBackoff, Duration maxBackoff, Duration restoreSpread,
		Duration checkInterval, Duration snapshotInterval, int snapshotRecordCount) {

	private static final int SNAPSHOT_RECORD_COUNT = 256;

	/** The bounds unless settings say otherwise. */
	public static final FollowerSettings DEFAULT = new FollowerSettings(Duration.ofSeconds(4), Duration.ofMillis(100),
			Duration.ofSeconds(2), Duration.ofSeconds(1), Duration.ofSeconds(30), Duration.ofMinutes(10),
			SNAPSHOT_RECORD_COUNT);

	/**
	 * Returns these settings with another wait of reads.
	 * @param wait how long the log holds a read while there is nothing new
	 * @return the changed copy
	 */
	public FollowerSettings withPollWait(Duration wait) {
		return new FollowerSettings(wait, this.minBackoff, this.maxBackoff, this.restoreSpread, this.checkInterval,
				this.snapshotInterval, this.snapshotRecordCount);
	}

	/**
	 * Returns these settings with another bound on the records after a snapshot.
	 * @param count how many records may follow the newest snapshot
	 * @return the changed copy
	 */
	public FollowerSettings withSnapshotRecordCount(int count) {
		return new FollowerSettings(this.pollWait, this.minBackoff, this.maxBackoff, this.restoreSpread,
				this.checkInterval, this.snapshotInterval, count);
	}

}
