package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.fleet.connection.CallException;
import org.masticwick.fleet.connection.JobLog;
import org.masticwick.fleet.connection.KeyedRecord;
import org.masticwick.fleet.connection.LogPage;
import org.masticwick.fleet.connection.NewRecord;

/**
 * Writes the durable jobs of one pool to its partition of the shared log, and reads what
 * the owner before has written. The epoch is the fencing token of the pool: once it is
 * set, an earlier owner can't add anything that was not read. One call is under way at a
 * time and takes all that waits; one without an answer is repeated with the same number,
 * so that it has an effect once. All calls come on the event loop.
 */
final class JobJournal {

	private static final Logger logger = LoggerFactory.getLogger(JobJournal.class);

	/** How much goes in one call; a part of what the log takes at once. */
	private static final int MAX_BATCH_BYTES = 512 * 1024;

	private static final int MAX_BATCH_RECORDS = 500;

	private static final long RETRY_MILLIS = 100;

	private final EventLoop eventLoop;

	private final JobLog log;

	private final String pool;

	private final int partition;

	private final long epoch;

	private final Listener listener;

	private final Map<String, KeyedRecord> readRecords = new LinkedHashMap<>();

	private final Map<String, PendingChange> pendingChanges = new LinkedHashMap<>();

	private long sequence;

	private boolean loaded;

	private boolean appending;

	private long failingSinceMillis = -1;

	private boolean closed;

	JobJournal(EventLoop eventLoop, JobLog log, String pool, int partition, long epoch, Listener listener) {
		this.eventLoop = eventLoop;
		this.log = log;
		this.pool = pool;
		this.partition = partition;
		this.epoch = epoch;
		this.listener = listener;
	}

	/**
	 * Shuts earlier writers out and reads what they have written.
	 */
	void open() {
		if (this.closed) {
			return;
		}
		this.log.appendJobs(this.partition, this.epoch, this.sequence, List.of())
			.thenCompose((nothing) -> this.log.newestJobs(this.partition, ""))
			.whenComplete(this::handlePage);
	}

	private void handlePage(LogPage page, Throwable error) {
		if (this.closed) {
			return;
		}
		if (error != null) {
			handleFailure("open", error, this::open);
			return;
		}
		page.records().forEach((each) -> this.readRecords.put(each.key(), each));
		if (page.lastKey() != null) {
			this.log.newestJobs(this.partition, page.lastKey()).whenComplete(this::handlePage);
			return;
		}
		this.loaded = true;
		recordSuccess();
		logger.atInfo()
			.addKeyValue("pool", this.pool)
			.addKeyValue("partition", this.partition)
			.addKeyValue("epoch", this.epoch)
			.addKeyValue("records", this.readRecords.size())
			.log("Durable jobs read");
		List<KeyedRecord> all = List.copyOf(this.readRecords.values());
		this.readRecords.clear();
		this.listener.loaded(this.pool, all);
		flush();
	}

	boolean isLoaded() {
		return this.loaded;
	}

	/**
	 * Returns whether new jobs can be expected to be written soon.
	 * @return whether the last call was answered
	 */
	boolean isWritable() {
		return this.loaded && this.failingSinceMillis < 0;
	}

	/**
	 * Returns since when the log does not answer.
	 * @return the time in milliseconds, or a negative number if it does
	 */
	long failingSinceMillis() {
		return this.failingSinceMillis;
	}

	/**
	 * Writes a record; replaces one with the same key that still waits.
	 * @param key the key
	 * @param content gives the value when it is written
	 * @param onStored what to do when the log has it
	 */
	void put(String key, Supplier<byte[]> content, Runnable onStored) {
		if (!this.closed) {
			this.pendingChanges.put(key, new PendingChange(content, onStored));
			flush();
		}
	}

	private void flush() {
		if (this.appending || !this.loaded || this.closed || this.pendingChanges.isEmpty()) {
			return;
		}
		this.appending = true;
		// What else happens in this turn of the event loop goes along.
		this.eventLoop.execute(this::writePending);
	}

	private void writePending() {
		List<NewRecord> records = new ArrayList<>();
		List<Runnable> storedCallbacks = new ArrayList<>();
		int lengthBytes = 0;
		for (String key : List.copyOf(this.pendingChanges.keySet())) {
			if (records.size() >= MAX_BATCH_RECORDS || lengthBytes >= MAX_BATCH_BYTES) {
				break;
			}
			PendingChange change = this.pendingChanges.remove(key);
			NewRecord newRecord = new NewRecord(key, change.content().get());
			lengthBytes += newRecord.value().length;
			records.add(newRecord);
			storedCallbacks.add(change.onStored());
		}
		this.sequence++;
		write(records, storedCallbacks);
	}

	private void write(List<NewRecord> records, List<Runnable> storedCallbacks) {
		if (this.closed) {
			return;
		}
		this.log.appendJobs(this.partition, this.epoch, this.sequence, records).whenComplete((nothing, error) -> {
			if (this.closed) {
				return;
			}
			if (error != null) {
				handleFailure("append", error, () -> write(records, storedCallbacks));
				return;
			}
			recordSuccess();
			this.appending = false;
			storedCallbacks.forEach(Runnable::run);
			flush();
		});
	}

	private void recordSuccess() {
		if (this.failingSinceMillis >= 0) {
			this.failingSinceMillis = -1;
			logger.atInfo().addKeyValue("pool", this.pool).log("Durable jobs are written again");
		}
	}

	private void handleFailure(String call, Throwable error, Runnable retry) {
		Throwable cause = CallException.unwrapped(error);
		if (cause instanceof CallException callException && callException.code() == CallException.Code.FENCED) {
			close();
			this.listener.fenced(this.pool);
			return;
		}
		if (this.failingSinceMillis < 0) {
			this.failingSinceMillis = Clock.nowMillis();
			logger.atWarn()
				.addKeyValue("pool", this.pool)
				.addKeyValue("call", call)
				.addKeyValue("epoch", this.epoch)
				.addKeyValue("sequence", this.sequence)
				.addKeyValue("reason", cause.getMessage())
				.log("Durable jobs can't be written");
		}
		this.eventLoop.schedule(retry, RETRY_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Writes nothing any more.
	 */
	void close() {
		this.closed = true;
		this.pendingChanges.clear();
	}

	private record PendingChange(Supplier<byte[]> content, Runnable onStored) {
	}

	/**
	 * Hears what the journal holds.
	 */
	interface Listener {

		/**
		 * Takes what earlier owners have written.
		 * @param pool the pool
		 * @param records the newest record of each key
		 */
		void loaded(String pool, List<KeyedRecord> records);

		/**
		 * Takes note that another owner has taken over.
		 * @param pool the pool
		 */
		void fenced(String pool);

	}

}
