package org.masticwick.daemon.version;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.masticwick.core.version.LogRecord;

/**
 * Buffer of the newest records of the log, bounded in number and size, for peers that
 * can't reach the log themselves. All buffered records are consecutive and belong to one
 * history. Safe for several threads.
 */
public final class RecentRecords {

	private static final int MAX_RECORD_COUNT = 1_024;

	private static final long MAX_CHARACTER_COUNT = 4 * 1_048_576L;

	private final int maxRecordCount;

	private final long maxCharacterCount;

	private final Deque<Entry> entries = new ArrayDeque<>();

	private long characterCount;

	/**
	 * Creates an empty buffer with the default limits: 1,024 records and 4 Mi characters.
	 */
	public RecentRecords() {
		this(MAX_RECORD_COUNT, MAX_CHARACTER_COUNT);
	}

	/**
	 * Creates an empty buffer.
	 * @param maxRecordCount the maximum number of buffered records
	 * @param maxCharacterCount the maximum total length of the buffered records in
	 * characters; the newest record stays even if it alone is longer
	 */
	public RecentRecords(int maxRecordCount, long maxCharacterCount) {
		this.maxRecordCount = maxRecordCount;
		this.maxCharacterCount = maxCharacterCount;
	}

	/**
	 * Adds a record unless it is buffered already. If the record isn't the direct
	 * successor of the newest one, by offset and hash, all others are removed first.
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
	 * Finds the records between two offsets of a history.
	 * @param fromOffset the offset of the first requested record
	 * @param endOffset the offset after the last requested record
	 * @param endHash the hash of the history up to {@code endOffset}
	 * @return the records and the hash of the history before them; empty if any of them
	 * is missing or the buffer holds another history
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
	 * Consecutive records of one history.
	 *
	 * @param hashBefore the hash of the history before the first record
	 * @param records the records in the order of their offsets
	 */
	record RecordSequence(String hashBefore, List<LogRecord> records) {

	}

	private record Entry(LogRecord record, String hashBefore, String hashAfter) {

		boolean directlyPrecedes(Entry next) {
			return this.record.offset() + 1 == next.record.offset() && this.hashAfter.equals(next.hashBefore);
		}

	}

}
