package org.masticwick.standin.process;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Keeps one append-only stream: records with offsets from 0 on, of which the oldest
 * expire.
 */
final class LogStream {

	private final int retentionCount;

	private final List<Runnable> waiters = new ArrayList<>();

	private List<String> values = new ArrayList<>();

	private long beginOffset;

	private long appendCount;

	/**
	 * Creates an empty stream.
	 * @param retentionCount how many records are kept
	 */
	LogStream(int retentionCount) {
		this.retentionCount = retentionCount;
	}

	/**
	 * Appends records in one batch.
	 * @param records the values
	 * @return the offsets of the batch
	 */
	Appended append(List<String> records) {
		Appended appended;
		synchronized (this) {
			long firstOffset = endOffset();
			this.values.addAll(records);
			this.appendCount++;
			appended = new Appended(firstOffset, endOffset());
			expireBefore(endOffset() - this.retentionCount);
		}
		wake();
		return appended;
	}

	/**
	 * Reads from an offset on.
	 * @param fromOffset the first offset wanted
	 * @param limit how many records at most
	 * @return the records, none if the offset has expired or is not there yet
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
	 * Runs an action once, at the next change; at once if there is something to read.
	 * @param fromOffset what the reader waits for
	 * @param action the action
	 */
	void whenReadable(long fromOffset, Runnable action) {
		synchronized (this) {
			if (fromOffset == endOffset()) {
				this.waiters.add(action);
				return;
			}
		}
		action.run();
	}

	/**
	 * Withdraws an action that waits.
	 * @param action the action
	 */
	synchronized void removeWaiter(Runnable action) {
		this.waiters.remove(action);
	}

	/**
	 * Drops the records before an offset.
	 * @param offset the new begin offset
	 */
	synchronized void expireBefore(long offset) {
		int count = (int) Math.max(0, Math.min(offset - this.beginOffset, this.values.size()));
		if (count > 0) {
			this.values = new ArrayList<>(this.values.subList(count, this.values.size()));
			this.beginOffset += count;
		}
	}

	/**
	 * Drops the records from an offset on, as if the log came back with an older end.
	 * @param offset the new end offset
	 */
	void truncateTo(long offset) {
		synchronized (this) {
			this.beginOffset = Math.max(0, Math.min(this.beginOffset, offset));
			int count = (int) Math.max(0, Math.min(offset - this.beginOffset, this.values.size()));
			this.values = new ArrayList<>(this.values.subList(0, count));
		}
		wake();
	}

	/**
	 * Tells the counts and offsets.
	 * @return the state
	 */
	synchronized Summary summary() {
		return new Summary(this.beginOffset, endOffset(), this.values.size(), this.appendCount);
	}

	private void wake() {
		List<Runnable> woken;
		synchronized (this) {
			woken = List.copyOf(this.waiters);
			this.waiters.clear();
		}
		woken.forEach(Runnable::run);
	}

	private long endOffset() {
		return this.beginOffset + this.values.size();
	}

	/**
	 * Tells where a batch went.
	 *
	 * @param firstOffset the offset of the first record
	 * @param endOffset the offset after the last record
	 */
	record Appended(long firstOffset, long endOffset) {

	}

	/**
	 * Is a record with its offset.
	 *
	 * @param offset the offset
	 * @param value the text
	 */
	record Entry(long offset, String value) {

	}

	/**
	 * Is what a read gives.
	 *
	 * @param beginOffset the offset of the oldest record kept
	 * @param endOffset the offset after the newest record
	 * @param records the records
	 */
	record Page(long beginOffset, long endOffset, List<Entry> records) {

	}

	/**
	 * Tells the state of a stream.
	 *
	 * @param beginOffset the offset of the oldest record kept
	 * @param endOffset the offset after the newest record
	 * @param recordCount how many records are kept
	 * @param appendCount how many batches were appended
	 */
	record Summary(long beginOffset, long endOffset, int recordCount, long appendCount) {

	}

}
