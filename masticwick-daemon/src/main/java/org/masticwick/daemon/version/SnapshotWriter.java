package org.masticwick.daemon.version;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.TimeSource;
import org.masticwick.core.version.LogRecord;
import org.masticwick.core.version.SiteRecord;
import org.masticwick.core.version.SiteRecordCodec;
import org.masticwick.core.version.SiteState;
import org.masticwick.platform.LoadedLog;
import org.masticwick.platform.PlatformClient;

/**
 * Appends snapshots to the log, so that hosts can start from the newest one after older
 * records have expired. Any host may write snapshots; two snapshots of one offset are
 * equal, so duplicates do no harm. Each host adds a random part to its intervals, so that
 * seldom more than one host writes.
 */
final class SnapshotWriter {

	private static final Logger LOG = LoggerFactory.getLogger(SnapshotWriter.class);

	private static final Duration MIN_WRITE_INTERVAL = Duration.ofSeconds(5);

	private static final Duration RESTORED_LOG_MAX_DELAY = Duration.ofSeconds(5);

	private final PlatformClient platform;

	private final FollowerSettings settings;

	private final TimeSource time;

	private final RandomGenerator random;

	private long recordCountSinceSnapshot;

	private long recordCountLimit;

	private long dueNanos;

	private long earliestWriteNanos;

	SnapshotWriter(PlatformClient platform, FollowerSettings settings, TimeSource time, RandomGenerator random) {
		this.platform = platform;
		this.settings = settings;
		this.time = time;
		this.random = random;
		this.earliestWriteNanos = time.nanoTime();
		resetSchedule(0);
	}

	/**
	 * Restarts the schedule for a log that was loaded. The age of its newest snapshot is
	 * unknown, so a random part of the snapshot interval counts as elapsed. If loading
	 * had to start from a snapshot that restored the log, because older records have
	 * expired, a regular snapshot is scheduled soon.
	 * @param loaded the log
	 */
	void logLoaded(LoadedLog loaded) {
		resetSchedule(loaded.endOffset() - loaded.snapshotOffset() - 1);
		this.dueNanos -= this.random.nextLong(this.settings.snapshotInterval().toNanos() + 1);
		if (loaded.initialState().nextOffset() > 0 && loaded.snapshotOffset() < 0) {
			scheduleSoon();
		}
	}

	/**
	 * Counts a record of the log. A regular snapshot restarts the schedule. A snapshot
	 * that restored a log can't be the start of a fold, so a regular one is scheduled
	 * soon after it.
	 * @param record the record
	 */
	void recordRead(LogRecord record) {
		this.recordCountSinceSnapshot++;
		if (SiteRecordCodec.decode(record.value()) instanceof SiteRecord.SnapshotRecord snapshot) {
			if (snapshot.restoresFrom().isEmpty()) {
				resetSchedule(0);
			}
			else {
				scheduleSoon();
			}
		}
	}

	/**
	 * Appends a snapshot if one is due, by count of records or by age, and at least five
	 * seconds have passed since the last attempt. The empty state gets none.
	 * @param state the state at the end of the log
	 * @return {@code true} if a snapshot was written
	 */
	boolean writeIfDue(SiteState state) {
		long nowNanos = this.time.nanoTime();
		boolean due = this.recordCountSinceSnapshot >= this.recordCountLimit || nowNanos - this.dueNanos >= 0;
		boolean empty = state.verdicts().isEmpty() && state.version().number() == 0;
		if (!due || empty || nowNanos - this.earliestWriteNanos < 0) {
			return false;
		}
		this.earliestWriteNanos = nowNanos + MIN_WRITE_INTERVAL.toNanos();
		this.platform.append(SiteRecord.STREAM, List.of(SiteRecordCodec.encodeSnapshot(state)));
		LOG.info("Wrote a snapshot of version {}, which covers the log before offset {}", state.version().number(),
				state.nextOffset());
		return true;
	}

	private void scheduleSoon() {
		long soonNanos = this.time.nanoTime() + this.random.nextLong(RESTORED_LOG_MAX_DELAY.toNanos());
		this.dueNanos = Math.min(this.dueNanos, soonNanos);
	}

	private void resetSchedule(long initialRecordCount) {
		this.recordCountSinceSnapshot = initialRecordCount;
		int count = this.settings.snapshotRecordCount();
		this.recordCountLimit = count + this.random.nextInt(count / 2 + 1);
		long intervalNanos = this.settings.snapshotInterval().toNanos();
		this.dueNanos = this.time.nanoTime() + intervalNanos + this.random.nextLong(intervalNanos / 2 + 1);
	}

}
