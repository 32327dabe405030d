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

	private static final long MAX_CHECK_BYTES = 8_192;

	private static final long CHECK_BYTES_PER_SECOND = 256;

	private final PlatformClient platform;

	private final SiteLogReader reader;

	private final VersionRegistry registry;

	private final FollowerSettings settings;

	private final TimeSource time;

	private final RandomGenerator random;

	private final SnapshotWriter snapshotWriter;

	private SiteState logState;

	private final LogReadHistory readHistory = new LogReadHistory();

	private long lastCheckNanos;

	private boolean checkForced;

	private Long restoreDueNanos;

	private volatile boolean logBehind;

	LogTracker(PlatformClient platform, VersionRegistry registry, FollowerSettings settings, TimeSource time,
			RandomGenerator random) {
		this.platform = platform;
		this.reader = new SiteLogReader(platform);
		this.registry = registry;
		this.settings = settings;
		this.time = time;
		this.random = random;
		this.snapshotWriter = new SnapshotWriter(platform, settings, time, random);
	}

	/**
	 * Loads the log or reads what is new in it.
	 * @return {@code true} if the next step may follow at once
	 * @throws org.masticwick.platform.PlatformException if the platform did not answer
	 */
	boolean step() {
		if (this.logState != null && isCheckDue()) {
			checkLog();
		}
		return (this.logState != null) ? poll() : load();
	}

	/**
	 * Has the next step check that the log still holds what was read last.
	 */
	void forceCheck() {
		this.checkForced = true;
	}

	/**
	 * Tells whether the log lacks something that is in force here.
	 * @return {@code true} if it does
	 */
	boolean logBehind() {
		return this.logBehind;
	}

	private boolean load() {
		SiteState activeBeforeRead = this.registry.state();
		Optional<LoadedLog> loaded = this.reader.load();
		if (loaded.isEmpty()) {
			if (this.registry.hasState()) {
				restore(activeBeforeRead, this.reader.bounds().endOffset());
			}
			return false;
		}
		this.logState = loaded.get().state();
		recordReadHistory(loaded.get());
		this.snapshotWriter.logLoaded(loaded.get());
		markChecked();
		handleEndOfLog(activeBeforeRead, loaded.get().endOffset());
		return true;
	}

	private boolean poll() {
		SiteState activeBeforeRead = this.registry.state();
		try {
			LogPage page = this.platform.read(SiteRecord.STREAM, this.logState.nextOffset(),
					SiteLogReader.PAGE_RECORD_COUNT, pollWait());
			if (page.endOffset() < this.logState.nextOffset()) {
				discardLogState("it ends at " + page.endOffset() + ", before " + this.logState.nextOffset());
				return true;
			}
			page.records().forEach(this::applyRecord);
			if (this.logState != null && this.logState.nextOffset() >= page.endOffset()) {
				handleEndOfLog(activeBeforeRead, page.endOffset());
			}
		}
		catch (RecordsExpiredException ex) {
			discardLogState("records before " + ex.beginOffset() + " have expired");
		}
		return true;
	}

	private void recordReadHistory(LoadedLog loaded) {
		this.readHistory.clear();
		String hash = loaded.start().historyHash();
		for (LogRecord record : loaded.tail()) {
			this.readHistory.add(hash, record);
			hash = NoteFold.nextHash(hash, record);
		}
	}

	private void applyRecord(LogRecord record) {
		if (this.logState == null) {
			return;
		}
		this.readHistory.add(this.logState.historyHash(), record);
		this.logState = this.registry.foldRecord(this.logState, record);
		this.snapshotWriter.recordRead(record);
		if (SiteRecordCodec.decode(record.value()) instanceof SiteRecord.SnapshotRecord snapshot
				&& snapshot.canStartFold(record.offset(), 0) && this.readHistory.contradicts(snapshot.state())) {
			discardLogState("the snapshot at " + record.offset() + " was folded from another history");
		}
	}

	private void checkLog() {
		if (!this.readHistory.isEmpty() && !logHoldsReadHistory()) {
			discardLogState("it does not hold the records that were read last");
		}
		markChecked();
	}

	/**
	 * Tells whether it is time to read the last records again. Long ones are read less
	 * often, so that reading them stays a small part of the traffic.
	 * @return {@code true} if it is
	 */
	private boolean isCheckDue() {
		long bytes = this.readHistory.isEmpty() ? 0 : this.readHistory.recheckRange(MAX_CHECK_BYTES).bytes();
		long spacingNanos = Duration.ofSeconds(bytes / CHECK_BYTES_PER_SECOND).toNanos();
		long intervalNanos = Math.max(this.settings.checkInterval().toNanos(), spacingNanos);
		return this.checkForced || this.time.nanoTime() - this.lastCheckNanos >= intervalNanos;
	}

	private boolean logHoldsReadHistory() {
		try {
			return logHoldsReadHistoryFrom(this.readHistory.recheckRange(MAX_CHECK_BYTES).offset());
		}
		catch (RecordsExpiredException ex) {
			return ex.beginOffset() <= this.readHistory.lastOffset() && logHoldsReadHistoryFrom(ex.beginOffset());
		}
	}

	private boolean logHoldsReadHistoryFrom(long offset) {
		LogPage page = this.platform.read(SiteRecord.STREAM, offset, LogReadHistory.RECORD_COUNT, Duration.ZERO);
		return this.readHistory.matches(offset, page.records());
	}

	private void discardLogState(String reason) {
		LOG.warn("Reading the log anew: {}", reason);
		this.logState = null;
		this.readHistory.clear();
	}

	private void handleEndOfLog(SiteState activeBeforeRead, long endOffset) {
		if (this.registry.hasState() && !this.logState.containsNotesOf(activeBeforeRead)) {
			restore(activeBeforeRead, endOffset);
			return;
		}
		this.logBehind = false;
		this.restoreDueNanos = null;
		this.registry.rebase(this.logState);
		this.snapshotWriter.writeIfDue(this.logState);
	}

	/**
	 * Writes what is in force into a log that lacks it, after a delay in which another
	 * host may have done so.
	 * @param activeState the state in force
	 * @param endOffset the end of the log
	 */
	private void restore(SiteState activeState, long endOffset) {
		this.logBehind = true;
		long nowNanos = this.time.nanoTime();
		if (this.restoreDueNanos == null) {
			this.restoreDueNanos = nowNanos + this.random.nextLong(this.settings.restoreSpread().toNanos() + 1);
		}
		if (nowNanos - this.restoreDueNanos >= 0) {
			this.restoreDueNanos = nowNanos + this.settings.restoreSpread().toNanos();
			this.platform.append(SiteRecord.STREAM, List.of(SiteRecordCodec.encodeRestore(activeState, endOffset)));
			LOG.warn("Restored version {} in a log that ended at {}", activeState.version().number(), endOffset);
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

	private void markChecked() {
		this.lastCheckNanos = this.time.nanoTime();
		this.checkForced = false;
	}

}
