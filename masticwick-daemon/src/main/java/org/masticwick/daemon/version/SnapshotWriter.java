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
 * Writes snapshots into the log so that records may expire. Any host may write one; two
 * written at the same offset are equal. Bounds are spread so that seldom more than one
 * host writes.
 */
final class SnapshotWriter {

	private static final Logger LOG = LoggerFactory.getLogger(SnapshotWriter.class);

	private static final Duration MIN_GAP = Duration.ofSeconds(5);

	private static final Duration RESTORED_SPREAD = Duration.ofSeconds(5);

	private final PlatformClient platform;

	private final FollowerSettings settings;

	private final TimeSource time;

	private final RandomGenerator random;

	private long recordCount;

	private long recordCountBound;

	private long dueNanos;

	private long notBeforeNanos;

	SnapshotWriter(PlatformClient platform, FollowerSettings settings, TimeSource time, RandomGenerator random) {
		this.platform = platform;
		this.settings = settings;
		this.time = time;
		this.random = random;
		this.notBeforeNanos = time.nanoTime();
		restart(0);
	}

	/**
	 * Starts to count from the newest snapshot of a log that was loaded. Its age is not
	 * known, so it may be as old as allowed before long.
	 * @param loaded the log
	 */
	void loaded(LoadedLog loaded) {
		restart(loaded.endOffset() - loaded.snapshotOffset() - 1);
		this.dueNanos -= this.random.nextLong(this.settings.snapshotInterval().toNanos() + 1);
		if (loaded.initialState().nextOffset() > 0 && loaded.snapshotOffset() < 0) {
			dueSoon();
		}
	}

	/**
	 * Notes a record of the log. A log that was restored needs a snapshot that folding
	 * may start from.
	 * @param record the record
	 */
	void seen(LogRecord record) {
		this.recordCount++;
		if (SiteRecordCodec.decode(record.value()) instanceof SiteRecord.SnapshotRecord snapshot) {
			if (snapshot.restoresFrom().isEmpty()) {
				restart(0);
			}
			else {
				dueSoon();
			}
		}
	}

	/**
	 * Writes a snapshot if one is due.
	 * @param state the state at the end of the log
	 * @return {@code true} if one was written
	 */
	boolean writeIfDue(SiteState state) {
		long now = this.time.nanoTime();
		boolean due = this.recordCount >= this.recordCountBound || now - this.dueNanos >= 0;
		boolean empty = state.verdicts().isEmpty() && state.version().number() == 0;
		if (!due || empty || now - this.notBeforeNanos < 0) {
			return false;
		}
		this.notBeforeNanos = now + MIN_GAP.toNanos();
		this.platform.append(SiteRecord.STREAM, List.of(SiteRecordCodec.encodeSnapshot(state)));
		LOG.info("Wrote a snapshot of version {} at offset {}", state.version().number(), state.nextOffset());
		return true;
	}

	private void dueSoon() {
		long soonNanos = this.time.nanoTime() + this.random.nextLong(RESTORED_SPREAD.toNanos());
		this.dueNanos = Math.min(this.dueNanos, soonNanos);
	}

	private void restart(long laterRecordCount) {
		this.recordCount = laterRecordCount;
		int count = this.settings.snapshotRecordCount();
		this.recordCountBound = count + this.random.nextInt(count / 2 + 1);
		long intervalNanos = this.settings.snapshotInterval().toNanos();
		this.dueNanos = this.time.nanoTime() + intervalNanos + this.random.nextLong(intervalNanos / 2 + 1);
	}

}
