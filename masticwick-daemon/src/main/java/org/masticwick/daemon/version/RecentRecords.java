package org.masticwick.daemon.version;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.masticwick.core.version.LogRecord;

/**
 * Keeps the last records of the log for peers that are cut off from it, bounded in number
 * and size. All of them belong to one history.
 */
public final class RecentRecords {

	private static final int MAX_RECORD_COUNT = 1_024;

	private static final long MAX_CHARACTER_COUNT = 4 * 1_048_576L;

	private final int maxRecordCount;

	private final long maxCharacterCount;

	private final Deque<Entry> entries = new ArrayDeque<>();

	private long characterCount;

	/**
	 * Creates an empty buffer with the usual bounds.
	 */
	public RecentRecords() {
		this(MAX_RECORD_COUNT, MAX_CHARACTER_COUNT);
	}

	/**
	 * Creates an empty buffer.
	 * @param maxRecordCount how many records to keep at most
	 * @param maxCharacterCount how many characters to keep at most; the last record is
	 * kept in any case
	 */
	public RecentRecords(int maxRecordCount, long maxCharacterCount) {
		this.maxRecordCount = maxRecordCount;
		this.maxCharacterCount = maxCharacterCount;
	}

	/**
	 * Adds a record. A record of another history, or one that does not follow on, drops
	 * those kept before.
	 * @param record the record
	 * @param hashBefore the hash of the history before the record
	 * @param hashAfter the hash of the history after the record
	 */
	synchronized void add(LogRecord record, String hashBefore, String hashAfter) {
		Entry entry = new Entry(record, hashBefore, hashAfter);
		if (this.entries.contains(entry)) {
			return;
		}
		Entry last = this.entries.peekLast();
		if (last != null && !last.directlyPrecedes(entry)) {
			this.entries.clear();
			this.characterCount = 0;
		}
		this.entries.add(entry);
		this.characterCount += record.value().length();
		while (this.entries.size() > this.maxRecordCount
				|| (this.entries.size() > 1 && this.characterCount > this.maxCharacterCount)) {
			this.characterCount -= this.entries.remove().record().value().length();
		}
	}

	/**
	 * Finds the records between two places of a history.
	 * @param fromOffset the offset of the first record wanted
	 * @param endOffset the offset after the last record
	 * @param endHash the hash of the history at that offset
	 * @return the records and the hash before them; empty if they are not all here
	 */
	synchronized Optional<RecordSequence> find(long fromOffset, long endOffset, String endHash) {
		List<Entry> found = this.entries.stream()
			.filter((entry) -> entry.record().offset() >= fromOffset && entry.record().offset() < endOffset)
			.toList();
		boolean complete = !found.isEmpty() && found.size() == endOffset - fromOffset
				&& found.get(found.size() - 1).hashAfter().equals(endHash);
		if (!complete) {
			return Optional.empty();
		}
		List<LogRecord> records = new ArrayList<>(found.size());
		found.forEach((entry) -> records.add(entry.record()));
		return Optional.of(new RecordSequence(found.get(0).hashBefore(), records));
	}

	/**
	 * Holds records that follow one on the other.
	 *
	 * @param hashBefore the hash of the history before the first record
	 * @param records the records
	 */
	record RecordSequence(String hashBefore, List<LogRecord> records) {

	}

	private record Entry(LogRecord record, String hashBefore, String hashAfter) {

		boolean directlyPrecedes(Entry next) {
			return this.record.offset() + 1 == next.record.offset() && this.hashAfter.equals(next.hashBefore);
		}

	}

}
