package org.masticwick.daemon.version;

import java.time.Duration;

/**
 * Intervals and limits by which a host follows the log of release notes.
 *
 * @param pollWait how long a read waits at the platform for a new record (long polling)
 * @param minBackoff upper limit of the retry delay after the first of consecutive
 * failures
 * @param maxBackoff upper limit of the retry delay after many consecutive failures
 * @param restoreSpread upper limit of the random delay before a host restores a log that
 * lacks active release notes, and the interval between its attempts; the random delay
 * lets one host write first, so that the other hosts needn't
 * @param checkInterval shortest regular interval between checks that the log still holds
 * the records read last
 * @param snapshotInterval age of the newest snapshot at which a host may write another;
 * each host adds up to half of it at random; a small fraction of the log's retention
 * period, so that a snapshot exists before the records it replaces expire
 * @param snapshotRecordCount number of records after the newest snapshot at which a host
 * may write another; each host adds up to half of it at random
 */
public record FollowerSettings(Duration pollWait, Duration minBackoff, Duration maxBackoff, Duration restoreSpread,
		Duration checkInterval, Duration snapshotInterval, int snapshotRecordCount) {

	private static final int SNAPSHOT_RECORD_COUNT = 256;

	/** The default settings. */
	public static final FollowerSettings DEFAULT = new FollowerSettings(Duration.ofSeconds(4), Duration.ofMillis(100),
			Duration.ofSeconds(2), Duration.ofSeconds(1), Duration.ofSeconds(30), Duration.ofMinutes(10),
			SNAPSHOT_RECORD_COUNT);

	/**
	 * Returns a copy with another wait for new records.
	 * @param wait how long a read waits at the platform for a new record
	 * @return the changed copy
	 */
	public FollowerSettings withPollWait(Duration wait) {
		return new FollowerSettings(wait, this.minBackoff, this.maxBackoff, this.restoreSpread, this.checkInterval,
				this.snapshotInterval, this.snapshotRecordCount);
	}

	/**
	 * Returns a copy with another number of records between snapshots.
	 * @param count number of records after the newest snapshot at which a host may write
	 * another
	 * @return the changed copy
	 */
	public FollowerSettings withSnapshotRecordCount(int count) {
		return new FollowerSettings(this.pollWait, this.minBackoff, this.maxBackoff, this.restoreSpread,
				this.checkInterval, this.snapshotInterval, count);
	}

}
