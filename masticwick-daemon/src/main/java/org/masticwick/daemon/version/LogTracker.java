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
 * Reads the log of release notes step by step. If the platform loses records, the log is
 * loaded again from its newest snapshot, and if it then lacks active release notes, a
 * snapshot of the active state is appended to restore them. All methods but
 * {@link #logBehind()} belong to one thread.
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
	 * Loads the log, or, once it is loaded, reads its new records. Checks first, if due,
	 * that the log still holds the records read last.
	 * @return {@code true} if the next step may follow without delay; {@code false} if
	 * the log could not be loaded yet
	 * @throws org.masticwick.platform.PlatformException if a call of the platform failed
	 */
	boolean step() {
		if (this.logState != null && isCheckDue()) {
			checkLog();
		}
		return (this.logState != null) ? poll() : load();
	}

	/**
	 * Makes the next step check that the log still holds the records read last. Called
	 * after a failed read, because the platform may have lost records in an outage.
	 */
	void forceCheck() {
		this.checkForced = true;
	}

	/**
	 * Returns whether the log lacked active release notes when its end was last reached.
	 * May be called on any thread.
	 * @return {@code true} while the log has to be restored
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
		this.logState = loaded.get().finalState();
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
				discardLogState("the log ends at offset " + page.endOffset() + ", before the next offset to read, "
						+ this.logState.nextOffset());
				return true;
			}
			page.records().forEach(this::applyRecord);
			if (this.logState != null && this.logState.nextOffset() >= page.endOffset()) {
				handleEndOfLog(activeBeforeRead, page.endOffset());
			}
		}
		catch (RecordsExpiredException ex) {
			discardLogState("records before offset " + ex.beginOffset() + " have expired");
		}
		return true;
	}

	private void recordReadHistory(LoadedLog loaded) {
		this.readHistory.clear();
		String hash = loaded.initialState().historyHash();
		for (LogRecord record : loaded.foldedRecords()) {
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
			discardLogState("the snapshot at offset " + record.offset()
					+ " was folded from a history that differs from the one read here");
		}
	}

	private void checkLog() {
		if (!this.readHistory.isEmpty() && !logHoldsReadHistory()) {
			discardLogState("the log no longer holds the records that were read last");
		}
		markChecked();
	}

	/**
	 * Returns whether the last records are due to be read again. The interval grows with
	 * their length, to at least one second per 256 bytes, so that checks stay a small
	 * part of the traffic.
	 * @return {@code true} if the interval has elapsed or a check was forced
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
		LOG.warn("Discarding the state read from the log and loading the log again: {}", reason);
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
	 * Appends a snapshot of the active state to a log that lacks some of its release
	 * notes. Waits a random time before the first attempt, since another host may restore
	 * the log meanwhile, and the whole spread before each further one.
	 * @param activeState the active state
	 * @param endOffset the offset after the last record of the log
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
			LOG.warn("Restored version {} in a log that lacked active release notes and ended at offset {}",
					activeState.version().number(), endOffset);
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
