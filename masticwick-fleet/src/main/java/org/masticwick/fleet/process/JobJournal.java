package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
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
 * Writes the durable jobs of one pool to its partition of the log, and first reads the
 * records of previous owners. The epoch of the writes is the fencing token of the pool:
 * once this host has appended with it, the log rejects writes of previous owners, so that
 * they can't add a record after the read. There is one append at a time, which contains
 * all pending changes. An append that fails is retried with the same sequence number, by
 * which the log ignores duplicates. Jobs are appended only after the marker of durable
 * jobs is stored. Must be called on the event loop.
 */
final class JobJournal {

	private static final Logger logger = LoggerFactory.getLogger(JobJournal.class);

	/**
	 * The size above which an append gets no further record; well below the limit of the
	 * log.
	 */
	private static final int MAX_BATCH_BYTES = 512 * 1024;

	private static final int MAX_BATCH_RECORDS = 500;

	private static final long RETRY_MILLIS = 100;

	/** Deletes a key that no record has, as an append needs a record. */
	private static final NewRecord OWNERSHIP_CHECK = NewRecord.deletion("ownership-check");

	private final EventLoop eventLoop;

	private final JobLog log;

	private final String pool;

	private final int partition;

	private final long epoch;

	private final Supplier<CompletableFuture<Void>> durableJobsMarker;

	private final Listener listener;

	private final Map<String, KeyedRecord> readRecords = new LinkedHashMap<>();

	private final Map<String, PendingChange> pendingChanges = new LinkedHashMap<>();

	private final List<Runnable> ownershipCallbacks = new ArrayList<>();

	private long sequence;

	private boolean loaded;

	private boolean appending;

	private long failingSinceMillis = -1;

	private boolean closed;

	/**
	 * Creates a journal that was not opened yet.
	 * @param eventLoop the event loop
	 * @param log the client of the log
	 * @param pool the name of the pool
	 * @param partition the partition of the pool
	 * @param epoch the fencing token of this owner of the pool
	 * @param durableJobsMarker stores the marker of durable jobs unless it is stored; the
	 * future completes once it is, or fails with {@link CallException}
	 * @param listener receives the records and the loss of the pool
	 */
	JobJournal(EventLoop eventLoop, JobLog log, String pool, int partition, long epoch,
			Supplier<CompletableFuture<Void>> durableJobsMarker, Listener listener) {
		this.eventLoop = eventLoop;
		this.log = log;
		this.pool = pool;
		this.partition = partition;
		this.epoch = epoch;
		this.durableJobsMarker = durableJobsMarker;
		this.listener = listener;
	}

	/**
	 * Fences previous writers, then reads their records. Retries until that succeeds.
	 */
	void open() {
		if (this.closed) {
			return;
		}
		this.log.appendJobs(this.partition, this.epoch, this.sequence, List.of())
			.thenCompose((nothing) -> this.log.readLatestJobs(this.partition, ""))
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
		if (page.continuationKey() != null) {
			this.log.readLatestJobs(this.partition, page.continuationKey()).whenComplete(this::handlePage);
			return;
		}
		this.loaded = true;
		recordSuccess();
		logger.atInfo()
			.addKeyValue("pool", this.pool)
			.addKeyValue("partition", this.partition)
			.addKeyValue("epoch", this.epoch)
			.addKeyValue("records", this.readRecords.size())
			.log("Durable jobs of a pool read from the log");
		List<KeyedRecord> all = List.copyOf(this.readRecords.values());
		this.readRecords.clear();
		this.listener.loaded(this.pool, all);
		flush();
	}

	boolean isLoaded() {
		return this.loaded;
	}

	/**
	 * Returns whether a new job can be expected to be stored soon.
	 * @return whether all records have been read and the last call succeeded
	 */
	boolean isWritable() {
		return this.loaded && this.failingSinceMillis < 0;
	}

	/**
	 * Returns since when calls to the log have been failing.
	 * @return the time in milliseconds, or a negative number if the last call succeeded
	 */
	long failingSinceMillis() {
		return this.failingSinceMillis;
	}

	/**
	 * Writes a record. Replaces a pending change with the same key, whose callback is
	 * dropped.
	 * @param key the key
	 * @param content supplies the value at the time of the append
	 * @param onStored called when the log has stored the record
	 */
	void put(String key, Supplier<byte[]> content, Runnable onStored) {
		if (!this.closed) {
			this.pendingChanges.put(key, new PendingChange(content, onStored));
			flush();
		}
	}

	/**
	 * Checks that no other owner had the pool before this call, so that what this host
	 * has read and written is all there is.
	 * @param onConfirmed called when the log has accepted an append that was sent after
	 * this call; never if the pool has another owner
	 */
	void confirmOwnership(Runnable onConfirmed) {
		if (!this.closed) {
			this.ownershipCallbacks.add(onConfirmed);
			flush();
		}
	}

	private void flush() {
		boolean idle = this.pendingChanges.isEmpty() && this.ownershipCallbacks.isEmpty();
		if (this.appending || !this.loaded || this.closed || idle) {
			return;
		}
		this.appending = true;
		// Deferred, so that later changes of this event loop task are in the same append.
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
		if (records.isEmpty()) {
			records.add(OWNERSHIP_CHECK);
		}
		storedCallbacks.addAll(this.ownershipCallbacks);
		this.ownershipCallbacks.clear();
		this.sequence++;
		write(records, storedCallbacks);
	}

	private void write(List<NewRecord> records, List<Runnable> storedCallbacks) {
		if (this.closed) {
			return;
		}
		beforeAppend(records).thenCompose((nothing) -> append(records)).whenComplete((nothing, error) -> {
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

	private CompletableFuture<Void> beforeAppend(List<NewRecord> records) {
		return records.stream().anyMatch(StoredJobs::storesJob) ? this.durableJobsMarker.get()
				: CompletableFuture.completedFuture(null);
	}

	private CompletableFuture<Void> append(List<NewRecord> records) {
		return this.closed ? CompletableFuture.completedFuture(null)
				: this.log.appendJobs(this.partition, this.epoch, this.sequence, records);
	}

	private void recordSuccess() {
		if (this.failingSinceMillis >= 0) {
			this.failingSinceMillis = -1;
			logger.atInfo().addKeyValue("pool", this.pool).log("Calls for durable jobs to the log succeed again");
		}
	}

	private void handleFailure(String call, Throwable error, Runnable retry) {
		Throwable cause = CallException.unwrap(error);
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
				.log("Call for durable jobs to the log failed; it is retried until it succeeds");
		}
		this.eventLoop.schedule(retry, RETRY_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops writing and discards the pending changes.
	 */
	void close() {
		this.closed = true;
		this.pendingChanges.clear();
		this.ownershipCallbacks.clear();
	}

	private record PendingChange(Supplier<byte[]> content, Runnable onStored) {
	}

	/**
	 * Receives the records that were read, and is notified of the loss of the pool.
	 */
	interface Listener {

		/**
		 * Receives the records of previous owners.
		 * @param pool the name of the pool
		 * @param records the newest record of each key
		 */
		void loaded(String pool, List<KeyedRecord> records);

		/**
		 * Reports that an owner with a higher fencing token writes to the partition. The
		 * journal is closed.
		 * @param pool the name of the pool
		 */
		void fenced(String pool);

	}

}
