package org.masticwick.daemon.version;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

import org.masticwick.core.version.LogRecord;
import org.masticwick.core.version.SiteState;

/**
 * Holds the records read last from the log, each with the hash of the history before it.
 * Used to detect a log that lost or replaced records which this host has already read.
 */
final class LogReadHistory {

	/** The number of records held; older ones are dropped. */
	static final int RECORD_COUNT = 16;

	private final Deque<Entry> entries = new ArrayDeque<>();

	void clear() {
		this.entries.clear();
	}

	/**
	 * Adds a record that was read, and drops the oldest one beyond the limit.
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
	 * Selects the held records to read again for a check: the newest one whatever its
	 * length, and as many before it as fit into the byte limit. Must not be called while
	 * no record is held.
	 * @param maxBytes the limit on the total length, in bytes
	 * @return the offset of the oldest selected record and the total length
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
	 * Returns whether records that were read again equal the records held.
	 * @param offset the offset at which the read began
	 * @param records the records read, in order
	 * @return {@code true} if {@code records} begins with all held records from that
	 * offset on
	 */
	boolean matches(long offset, List<LogRecord> records) {
		List<LogRecord> remembered = this.entries.stream()
			.map(Entry::record)
			.filter((record) -> record.offset() >= offset)
			.toList();
		return records.size() >= remembered.size() && records.subList(0, remembered.size()).equals(remembered);
	}

	/**
	 * Returns whether a state was folded from a different history than the one read here.
	 * @param state the state of a snapshot, which any host may have written
	 * @return {@code true} if the hash held for the state's offset differs from the
	 * state's; {@code false} also if none is held for it
	 */
	boolean contradicts(SiteState state) {
		return this.entries.stream()
			.filter((entry) -> entry.record().offset() == state.nextOffset())
			.anyMatch((entry) -> !entry.hashBefore().equals(state.historyHash()));
	}

	/**
	 * The part of the held records to read again.
	 *
	 * @param offset the offset of the oldest record
	 * @param bytes the total length of the records in bytes
	 */
	record RecheckRange(long offset, long bytes) {

	}

	private record Entry(String hashBefore, LogRecord record) {

	}

}
