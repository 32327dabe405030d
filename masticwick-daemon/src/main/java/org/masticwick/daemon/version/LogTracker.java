package org.masticwick.daemon.version;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.TimeSource;
import org.masticwick.core.version.LogRecord;
import org.masticwick.core.version.NoteFold;
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

	private static final long CHECK_BYTES = 8_192;

	private static final long CHECK_BYTES_PER_SECOND = 256;

	private final PlatformClient platform;

	private final SiteLogReader reader;

	private final VersionRegistry registry;

	private final FollowerSettings settings;

	private final TimeSource time;

	private final RandomGenerator random;

	private final SnapshotWriter snapshots;

	private SiteState log;

	private final LogMemory memory = new LogMemory();

	private long checkedNanos;

	private boolean checkForced;

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
		if (this.log != null && checkDue()) {
			check();
		}
		return (this.log != null) ? poll() : load();
	}

	/**
	 * Has the next step check that the log still holds what was read last.
	 */
	void failed() {
		this.checkForced = true;
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
		this.log = loaded.get().finalState();
		remember(loaded.get());
		this.snapshots.loaded(loaded.get());
		checked();
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
			if (this.log != null && this.log.nextOffset() >= page.endOffset()) {
				reachedEnd(before, page.endOffset());
			}
		}
		catch (RecordsExpiredException ex) {
			lose("records before " + ex.beginOffset() + " have expired");
		}
		return true;
	}

	private void remember(LoadedLog loaded) {
		this.memory.clear();
		String hash = loaded.initialState().historyHash();
		for (LogRecord record : loaded.foldedRecords()) {
			this.memory.add(hash, record);
			hash = NoteFold.nextHash(hash, record);
		}
	}

	private void follow(LogRecord record) {
		if (this.log == null) {
			return;
		}
		this.memory.add(this.log.historyHash(), record);
		this.log = this.registry.follow(this.log, record);
		this.snapshots.seen(record);
		if (SiteRecordCodec.decode(record.value()) instanceof SiteRecord.SnapshotRecord snapshot
				&& snapshot.canStartFold(record.offset(), 0) && this.memory.contradicts(snapshot.state())) {
			lose("the snapshot at " + record.offset() + " was folded from another history");
		}
	}

	private void check() {
		if (!this.memory.isEmpty() && !holdsMemory()) {
			lose("it does not hold the records that were read last");
		}
		checked();
	}

	/**
	 * Tells whether it is time to read the last records again. Long ones are read less
	 * often, so that reading them stays a small part of the traffic.
	 * @return {@code true} if it is
	 */
	private boolean checkDue() {
		long bytes = this.memory.isEmpty() ? 0 : this.memory.recheck(CHECK_BYTES).bytes();
		long spacingNanos = Duration.ofSeconds(bytes / CHECK_BYTES_PER_SECOND).toNanos();
		long intervalNanos = Math.max(this.settings.checkInterval().toNanos(), spacingNanos);
		return this.checkForced || this.time.nanoTime() - this.checkedNanos >= intervalNanos;
	}

	private boolean holdsMemory() {
		try {
			return holdsMemoryFrom(this.memory.recheck(CHECK_BYTES).offset());
		}
		catch (RecordsExpiredException ex) {
			return ex.beginOffset() <= this.memory.lastOffset() && holdsMemoryFrom(ex.beginOffset());
		}
	}

	private boolean holdsMemoryFrom(long offset) {
		LogPage page = this.platform.read(SiteRecord.STREAM, offset, LogMemory.RECORD_COUNT, Duration.ZERO);
		return this.memory.matches(offset, page.records());
	}

	private void lose(String reason) {
		LOG.warn("Reading the log anew: {}", reason);
		this.log = null;
		this.memory.clear();
	}

	private void reachedEnd(SiteState before, long endOffset) {
		if (this.registry.known() && !this.log.containsNotesOf(before)) {
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

	private void checked() {
		this.checkedNanos = this.time.nanoTime();
		this.checkForced = false;
	}

}
