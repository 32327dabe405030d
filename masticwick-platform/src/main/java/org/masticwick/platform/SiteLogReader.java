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
 * Reads the stream of release notes: from the newest snapshot, or from the first record
 * if the stream is whole.
 */
public final class SiteLogReader {

	/** How many records are read at once at most. */
	public static final int PAGE_RECORD_COUNT = 64;

	private static final int WINDOW_GROWTH_FACTOR = 4;

	private static final long NONE = -1;

	private final PlatformClient platform;

	/**
	 * Creates a reader.
	 * @param platform where the log is
	 */
	public SiteLogReader(PlatformClient platform) {
		this.platform = platform;
	}

	/**
	 * Folds the stream up to its end.
	 * @return the state at the end; empty if records have expired and no snapshot is left
	 * @throws RecordsExpiredException if records expired meanwhile; trying again helps
	 * @throws PlatformException if the platform did not answer
	 */
	public Optional<LoadedLog> load() {
		LogPage bounds = bounds();
		long windowCount = PAGE_RECORD_COUNT;
		while (true) {
			long from = Math.max(bounds.beginOffset(), bounds.endOffset() - windowCount);
			List<LogRecord> records = readRange(from, bounds.endOffset());
			Optional<LoadedLog> loaded = start(records, bounds);
			if (loaded.isPresent()) {
				return loaded;
			}
			if (from == bounds.beginOffset()) {
				return startAtBegin(records, bounds);
			}
			windowCount *= WINDOW_GROWTH_FACTOR;
		}
	}

	/**
	 * Reads where the stream begins and ends.
	 * @return a page without records
	 * @throws PlatformException if the platform did not answer
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

	private Optional<LoadedLog> start(List<LogRecord> records, LogPage bounds) {
		for (int i = records.size() - 1; i >= 0; i--) {
			LogRecord record = records.get(i);
			if (SiteRecordCodec.decode(record.value()) instanceof SiteRecord.SnapshotRecord snapshot
					&& snapshot.canStartFold(record.offset(), bounds.beginOffset())) {
				List<LogRecord> tail = readRange(snapshot.state().nextOffset(), bounds.endOffset());
				return Optional.of(fold(snapshot.state(), tail, bounds, record.offset()));
			}
		}
		return Optional.empty();
	}

	/**
	 * Starts at the first record. If earlier ones have expired, the first snapshot that
	 * restored a log stands for them, so that all hosts start alike.
	 * @param records all records
	 * @param bounds where the stream begins and ends
	 * @return the state at the end; empty if there is nothing to start from
	 */
	private static Optional<LoadedLog> startAtBegin(List<LogRecord> records, LogPage bounds) {
		if (bounds.beginOffset() == 0) {
			return Optional.of(fold(SiteState.EMPTY, records, bounds, NONE));
		}
		for (int i = 0; i < records.size(); i++) {
			LogRecord record = records.get(i);
			if (SiteRecordCodec.decode(record.value()) instanceof SiteRecord.SnapshotRecord snapshot) {
				SiteState state = snapshot.state().withNextOffset(record.offset());
				return Optional.of(fold(state, records.subList(i, records.size()), bounds, NONE));
			}
		}
		return Optional.empty();
	}

	private static LoadedLog fold(SiteState state, List<LogRecord> records, LogPage bounds, long snapshotOffset) {
		return new LoadedLog(state, NoteFold.fold(state, records), bounds.endOffset(), snapshotOffset, records);
	}

	private List<LogRecord> readRange(long from, long end) {
		List<LogRecord> records = new ArrayList<>();
		long next = from;
		while (next < end) {
			LogPage page = this.platform.read(SiteRecord.STREAM, next, PAGE_RECORD_COUNT, Duration.ZERO);
			long last = end;
			page.records().stream().filter((record) -> record.offset() < last).forEach(records::add);
			if (page.records().isEmpty()) {
				throw new RecordsExpiredException(page.beginOffset(), page.endOffset());
			}
			next += page.records().size();
		}
		return records;
	}

}
