package org.masticwick.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.masticwick.core.version.LogRecord;
import org.masticwick.core.version.NoteFold;
import org.masticwick.core.version.SiteRecord;
import org.masticwick.core.version.SiteRecordCodec;
import org.masticwick.core.version.SiteState;

/**
 * Reads and folds the stream of release notes: from the latest snapshot, or from the
 * first record if there is no snapshot and no record has expired.
 */
public final class SiteLogReader {

	/** The maximum number of records that one call reads. */
	public static final int PAGE_RECORD_COUNT = 64;

	private static final int WINDOW_GROWTH_FACTOR = 4;

	private static final long NO_SNAPSHOT = -1;

	private final PlatformClient platform;

	/**
	 * Creates a reader.
	 * @param platform the platform that keeps the log
	 */
	public SiteLogReader(PlatformClient platform) {
		this.platform = platform;
	}

	/**
	 * Folds the stream up to its end. Looks for the latest snapshot in growing windows at
	 * the end of the stream.
	 * @return the state at the end; empty if records have expired and no snapshot remains
	 * @throws RecordsExpiredException if records expired during the call, which may then
	 * be retried
	 * @throws PlatformException if the platform did not respond
	 */
	public Optional<LoadedLog> load() {
		LogPage bounds = bounds();
		long windowRecordCount = PAGE_RECORD_COUNT;
		while (true) {
			long fromOffset = Math.max(bounds.beginOffset(), bounds.endOffset() - windowRecordCount);
			List<LogRecord> records = readRange(fromOffset, bounds.endOffset());
			Optional<LoadedLog> loaded = loadFromSnapshot(records, bounds);
			if (loaded.isPresent()) {
				return loaded;
			}
			if (fromOffset == bounds.beginOffset()) {
				return loadFromFirstRecord(records, bounds);
			}
			windowRecordCount *= WINDOW_GROWTH_FACTOR;
		}
	}

	/**
	 * Reads the offsets at which the stream begins and ends.
	 * @return a page with these offsets and without records
	 * @throws PlatformException if the platform did not respond
	 */
	public LogPage bounds() {
		try {
			LogPage page = this.platform.read(SiteRecord.STREAM, 0, 1, Duration.ZERO);
			return new LogPage(page.beginOffset(), page.endOffset(), List.of());
		}
		catch (RecordsExpiredException ex) {
			return new LogPage(ex.beginOffset(), ex.endOffset(), List.of());
		}
	}

	private Optional<LoadedLog> loadFromSnapshot(List<LogRecord> records, LogPage bounds) {
		for (int i = records.size() - 1; i >= 0; i--) {
			LogRecord record = records.get(i);
			if (SiteRecordCodec.decode(record.value()) instanceof SiteRecord.SnapshotRecord snapshot
					&& snapshot.canStartFold(record.offset(), bounds.beginOffset())) {
				List<LogRecord> laterRecords = readRange(snapshot.state().nextOffset(), bounds.endOffset());
				return Optional.of(fold(snapshot.state(), laterRecords, bounds, record.offset()));
			}
		}
		return Optional.empty();
	}

	/**
	 * Folds the stream from its first record. If earlier records have expired, folding
	 * starts from the first snapshot instead, such as one that restored the log, so that
	 * all hosts start from the same state.
	 * @param records all records of the stream
	 * @param bounds the offsets at which the stream begins and ends
	 * @return the state at the end; empty if records have expired and there is no
	 * snapshot
	 */
	private static Optional<LoadedLog> loadFromFirstRecord(List<LogRecord> records, LogPage bounds) {
		if (bounds.beginOffset() == 0) {
			return Optional.of(fold(SiteState.EMPTY, records, bounds, NO_SNAPSHOT));
		}
		for (int i = 0; i < records.size(); i++) {
			LogRecord record = records.get(i);
			if (SiteRecordCodec.decode(record.value()) instanceof SiteRecord.SnapshotRecord snapshot) {
				SiteState state = snapshot.state().withNextOffset(record.offset());
				return Optional.of(fold(state, records.subList(i, records.size()), bounds, NO_SNAPSHOT));
			}
		}
		return Optional.empty();
	}

	private static LoadedLog fold(SiteState state, List<LogRecord> records, LogPage bounds, long snapshotOffset) {
		return new LoadedLog(state, NoteFold.fold(state, records), bounds.endOffset(), snapshotOffset, records);
	}

	private List<LogRecord> readRange(long fromOffset, long endOffset) {
		List<LogRecord> records = new ArrayList<>();
		long nextOffset = fromOffset;
		while (nextOffset < endOffset) {
			LogPage page = this.platform.read(SiteRecord.STREAM, nextOffset, PAGE_RECORD_COUNT, Duration.ZERO);
			long rangeEndOffset = endOffset;
			page.records().stream().filter((record) -> record.offset() < rangeEndOffset).forEach(records::add);
			if (page.records().isEmpty()) {
				throw new RecordsExpiredException(page.beginOffset(), page.endOffset());
			}
			nextOffset += page.records().size();
		}
		return records;
	}

}
