package org.masticwick.daemon.version;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.TimeSource;
import org.masticwick.core.version.LogRecord;
import org.masticwick.core.version.SiteRecord;
import org.masticwick.core.version.SiteRecordCodec;
import org.masticwick.core.version.SiteState;
import org.masticwick.platform.LoadedLog;
import org.masticwick.platform.LogPage;
import org.masticwick.platform.PlatformClient;
import org.masticwick.platform.RecordsExpiredException;
import org.masticwick.platform.SiteLogReader;

/**
 * Follows the log step by step in one thread. A log that comes back without records that
 * are in force is read anew and gets a snapshot of what is in force.
 */
final class LogTracker {

	private static final Logger LOG = LoggerFactory.getLogger(LogTracker.class);

	private final PlatformClient platform;

	private final SiteLogReader reader;

	private final VersionRegistry registry;

	private final FollowerSettings settings;

	private final TimeSource time;

	private final RandomGenerator random;

	private final SnapshotWriter snapshots;

	private SiteState log;

	private LogRecord last;

	private long checkDueNanos;

	private Long restoreDueNanos;

	private volatile boolean behind;

	LogTracker(PlatformClient platform, VersionRegistry registry, FollowerSettings settings, TimeSource time,
			RandomGenerator random) {
		this.platform = platform;
		this.reader = new SiteLogReader(platform);
		this.registry = registry;
		this.settings = settings;
		this.time = time;
		this.random = random;
		this.snapshots = new SnapshotWriter(platform, settings, time, random);
	}

	/**
	 * Loads the log or reads what is new in it.
	 * @return {@code true} if the next step may follow at once
	 * @throws org.masticwick.platform.PlatformException if the platform did not answer
	 */
	boolean step() {
		if (this.log != null && this.time.nanoTime() - this.checkDueNanos >= 0) {
			check();
		}
		return (this.log != null) ? poll() : load();
	}

	/**
	 * Has the next step check that the log still holds what was read last.
	 */
	void failed() {
		this.checkDueNanos = this.time.nanoTime();
	}

	/**
	 * Tells whether the log lacks something that is in force here.
	 * @return {@code true} if it does
	 */
	boolean behind() {
		return this.behind;
	}

	private boolean load() {
		SiteState before = this.registry.state();
		Optional<LoadedLog> loaded = this.reader.load();
		if (loaded.isEmpty()) {
			if (this.registry.known()) {
				restore(before, this.reader.bounds().endOffset());
			}
			return false;
		}
		this.log = loaded.get().state();
		List<LogRecord> tail = loaded.get().tail();
		this.last = (tail.isEmpty()) ? null : tail.get(tail.size() - 1);
		this.snapshots.loaded(loaded.get().endOffset() - loaded.get().snapshotOffset() - 1);
		scheduleCheck();
		reachedEnd(before, loaded.get().endOffset());
		return true;
	}

	private boolean poll() {
		SiteState before = this.registry.state();
		try {
			LogPage page = this.platform.read(SiteRecord.STREAM, this.log.nextOffset(), SiteLogReader.PAGE_RECORD_COUNT,
					pollWait());
			if (page.endOffset() < this.log.nextOffset()) {
				lose("it ends at " + page.endOffset() + ", before " + this.log.nextOffset());
				return true;
			}
			page.records().forEach(this::follow);
			if (this.log.nextOffset() >= page.endOffset()) {
				reachedEnd(before, page.endOffset());
			}
		}
		catch (RecordsExpiredException ex) {
			lose("records before " + ex.beginOffset() + " have expired");
		}
		return true;
	}

	private void follow(LogRecord record) {
		this.log = this.registry.follow(this.log, record);
		this.last = record;
		this.snapshots.seen(record);
	}

	private void check() {
		if (this.last != null && !holdsLast()) {
			lose("it holds another record at " + this.last.offset());
		}
		scheduleCheck();
	}

	private boolean holdsLast() {
		try {
			LogPage page = this.platform.read(SiteRecord.STREAM, this.last.offset(), 1, Duration.ZERO);
			return page.records().contains(this.last);
		}
		catch (RecordsExpiredException ex) {
			return ex.endOffset() > this.last.offset();
		}
	}

	private void lose(String reason) {
		LOG.warn("Reading the log anew: {}", reason);
		this.log = null;
		this.last = null;
	}

	private void reachedEnd(SiteState before, long endOffset) {
		if (this.registry.known() && !this.log.contains(before)) {
			restore(before, endOffset);
			return;
		}
		this.behind = false;
		this.restoreDueNanos = null;
		this.registry.rebase(this.log);
		this.snapshots.writeIfDue(this.log);
	}

	/**
	 * Writes what is in force into a log that lacks it, after a delay in which another
	 * host may have done so.
	 * @param state the state in force
	 * @param endOffset the end of the log
	 */
	private void restore(SiteState state, long endOffset) {
		this.behind = true;
		long now = this.time.nanoTime();
		if (this.restoreDueNanos == null) {
			this.restoreDueNanos = now + this.random.nextLong(this.settings.restoreSpread().toNanos() + 1);
		}
		if (now - this.restoreDueNanos >= 0) {
			this.restoreDueNanos = now + this.settings.restoreSpread().toNanos();
			this.platform.append(SiteRecord.STREAM, List.of(SiteRecordCodec.encodeRestore(state, endOffset)));
			LOG.warn("Restored version {} in a log that ended at {}", state.version().number(), endOffset);
		}
	}

	private Duration pollWait() {
		Duration wait = this.settings.pollWait();
		if (this.restoreDueNanos != null) {
			wait = shorter(wait, Duration.ofNanos(Math.max(0, this.restoreDueNanos - this.time.nanoTime())));
		}
		return wait;
	}

	private static Duration shorter(Duration left, Duration right) {
		return (left.compareTo(right) <= 0) ? left : right;
	}

	private void scheduleCheck() {
		this.checkDueNanos = this.time.nanoTime() + this.settings.checkInterval().toNanos();
	}

}
