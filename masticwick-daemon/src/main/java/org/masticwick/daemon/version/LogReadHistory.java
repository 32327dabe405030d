package org.masticwick.daemon.version;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

import org.masticwick.core.version.LogRecord;
import org.masticwick.core.version.SiteState;

/**
 * Remembers the last records that were read and the hash of the history before each, to
 * tell whether the log still holds what was read.
 */
final class LogReadHistory {

	/** How many records are remembered. */
	static final int RECORD_COUNT = 16;

	private final Deque<Entry> entries = new ArrayDeque<>();

	void clear() {
		this.entries.clear();
	}

	/**
	 * Remembers a record.
	 * @param hashBefore the hash of the history before the record
	 * @param record the record
	 */
	void add(String hashBefore, LogRecord record) {
		this.entries.add(new Entry(hashBefore, record));
		if (this.entries.size() > RECORD_COUNT) {
			this.entries.remove();
		}
	}

	boolean isEmpty() {
		return this.entries.isEmpty();
	}

	long lastOffset() {
		return this.entries.getLast().record().offset();
	}

	/**
	 * Chooses which of the remembered records to read again: the last one, and those
	 * before it as far as the length allows.
	 * @param maxBytes how long they may be together, in bytes
	 * @return the first of them and their length
	 */
	RecheckRange recheckRange(long maxBytes) {
		Iterator<Entry> newestFirst = this.entries.descendingIterator();
		LogRecord first = newestFirst.next().record();
		long bytes = first.value().length();
		while (newestFirst.hasNext()) {
			LogRecord previous = newestFirst.next().record();
			if (bytes + previous.value().length() > maxBytes) {
				break;
			}
			first = previous;
			bytes += previous.value().length();
		}
		return new RecheckRange(first.offset(), bytes);
	}

	/**
	 * Tells whether records read again are those remembered.
	 * @param offset the offset that was read from
	 * @param records the records from that offset on
	 * @return {@code true} if they begin with all those remembered from that offset on
	 */
	boolean matches(long offset, List<LogRecord> records) {
		List<LogRecord> remembered = this.entries.stream()
			.map(Entry::record)
			.filter((record) -> record.offset() >= offset)
			.toList();
		return records.size() >= remembered.size() && records.subList(0, remembered.size()).equals(remembered);
	}

	/**
	 * Tells whether a state belongs to another history.
	 * @param state a state that another host folded from the log
	 * @return {@code true} if the hash that is remembered for its offset is another one
	 */
	boolean contradicts(SiteState state) {
		return this.entries.stream()
			.filter((entry) -> entry.record().offset() == state.nextOffset())
			.anyMatch((entry) -> !entry.hashBefore().equals(state.historyHash()));
	}

	/**
	 * Names remembered records from an offset on.
	 *
	 * @param offset the offset of the first of them
	 * @param bytes their length in bytes
	 */
	record RecheckRange(long offset, long bytes) {

	}

	private record Entry(String hashBefore, LogRecord record) {

	}

}
