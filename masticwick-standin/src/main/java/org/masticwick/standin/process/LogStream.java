package org.masticwick.standin.process;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * One append-only stream of the log. Records have consecutive offsets from 0 on; beyond
 * the retention limit the oldest records expire.
 */
final class LogStream {

	private final int retentionRecordCount;

	private final List<Runnable> waitingReads = new ArrayList<>();

	private List<String> values = new ArrayList<>();

	private long beginOffset;

	private long appendCount;

	/**
	 * Creates an empty stream.
	 * @param retentionRecordCount the number of records to retain
	 */
	LogStream(int retentionRecordCount) {
		this.retentionRecordCount = retentionRecordCount;
	}

	/**
	 * Appends records as one batch, which no other batch is interleaved with, and runs
	 * the actions of all waiting reads.
	 * @param records the values of the records
	 * @return the offsets of the batch
	 */
	Appended append(List<String> records) {
		Appended appended;
		synchronized (this) {
			long firstOffset = endOffset();
			this.values.addAll(records);
			this.appendCount++;
			appended = new Appended(firstOffset, endOffset());
			expireBefore(endOffset() - this.retentionRecordCount);
		}
		runWaitingReads();
		return appended;
	}

	/**
	 * Reads records from an offset on.
	 * @param fromOffset the offset of the first record to read
	 * @param limit the largest number of records to return
	 * @return the records with the begin and end offsets of the stream; no records if the
	 * offset has expired or is at or beyond the end
	 */
	synchronized Page read(long fromOffset, int limit) {
		if (fromOffset < this.beginOffset || fromOffset >= endOffset()) {
			return new Page(this.beginOffset, endOffset(), List.of());
		}
		int first = (int) (fromOffset - this.beginOffset);
		int last = (int) Math.min(this.values.size(), (long) first + limit);
		List<Entry> records = IntStream.range(first, last)
			.mapToObj((index) -> new Entry(this.beginOffset + index, this.values.get(index)))
			.toList();
		return new Page(this.beginOffset, endOffset(), records);
	}

	/**
	 * Runs an action once a read need not wait: at the next append or truncation if the
	 * offset is the end of the stream, otherwise at once, also if the offset has expired
	 * or lies beyond the end.
	 * @param fromOffset the offset of the first record to read
	 * @param action the action, run on the calling thread or on the one that changes the
	 * stream
	 */
	void whenReadable(long fromOffset, Runnable action) {
		synchronized (this) {
			if (fromOffset == endOffset()) {
				this.waitingReads.add(action);
				return;
			}
		}
		action.run();
	}

	/**
	 * Removes the action of a waiting read; does nothing if the action does not wait.
	 * @param action the action as passed to {@link #whenReadable}
	 */
	synchronized void removeWaitingRead(Runnable action) {
		this.waitingReads.remove(action);
	}

	/**
	 * Expires the records before an offset.
	 * @param offset the new begin offset; at most all records expire, and nothing changes
	 * if the offset is not beyond the begin
	 */
	synchronized void expireBefore(long offset) {
		int count = (int) Math.max(0, Math.min(offset - this.beginOffset, this.values.size()));
		if (count > 0) {
			this.values = new ArrayList<>(this.values.subList(count, this.values.size()));
			this.beginOffset += count;
		}
	}

	/**
	 * Removes the records from an offset on, as if a failure of the platform had lost the
	 * newest records, and runs the actions of all waiting reads.
	 * @param offset the new end offset, which also becomes the begin offset if that was
	 * higher; no record is removed if it lies at or beyond the end
	 */
	void truncateTo(long offset) {
		synchronized (this) {
			this.beginOffset = Math.max(0, Math.min(this.beginOffset, offset));
			int count = (int) Math.max(0, Math.min(offset - this.beginOffset, this.values.size()));
			this.values = new ArrayList<>(this.values.subList(0, count));
		}
		runWaitingReads();
	}

	/**
	 * Returns the offsets of the stream and the numbers of its records and appends.
	 * @return the state
	 */
	synchronized Summary summary() {
		return new Summary(this.beginOffset, endOffset(), this.values.size(), this.appendCount);
	}

	private void runWaitingReads() {
		List<Runnable> actions;
		synchronized (this) {
			actions = List.copyOf(this.waitingReads);
			this.waitingReads.clear();
		}
		actions.forEach(Runnable::run);
	}

	private long endOffset() {
		return this.beginOffset + this.values.size();
	}

	/**
	 * Offsets of an appended batch.
	 *
	 * @param firstOffset the offset of the first record of the batch
	 * @param endOffset the offset after the last record of the batch
	 */
	record Appended(long firstOffset, long endOffset) {

	}

	/**
	 * A record with its offset.
	 *
	 * @param offset the offset
	 * @param value the value as it was appended
	 */
	record Entry(long offset, String value) {

	}

	/**
	 * Result of a read.
	 *
	 * @param beginOffset the offset of the oldest retained record
	 * @param endOffset the offset after the newest record, which the next append gets
	 * @param records the records read, in the order of their offsets
	 */
	record Page(long beginOffset, long endOffset, List<Entry> records) {

	}

	/**
	 * State of a stream.
	 *
	 * @param beginOffset the offset of the oldest retained record
	 * @param endOffset the offset after the newest record, which the next append gets
	 * @param recordCount the number of retained records
	 * @param appendCount the number of batches appended so far
	 */
	record Summary(long beginOffset, long endOffset, int recordCount, long appendCount) {

	}

}
