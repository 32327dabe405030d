package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.fleet.connection.CallException;
import org.masticwick.fleet.connection.KeyedRecord;
import org.masticwick.fleet.connection.NewRecord;
import org.masticwick.fleet.connection.SharedLog;
import org.masticwick.fleet.connection.SharedTopic;

/**
 * The record in the members' topic that the site has durable jobs, or has had some. It is
 * stored before the first of them, so that a host which takes over from a lost owner
 * knows of them although that owner may have told nobody.
 * <p>
 * A host claims a pool only after it has read the members' topic up to its claim, and an
 * owner stores a durable job only after it has read the marker with everything before it.
 * Of the two one came first: either the next owner has read the marker, or the previous
 * one has read that its pool is claimed, and starts nothing. Must be called on the event
 * loop.
 */
final class DurableJobsMarker {

	/** The key of the record in the members' topic. */
	static final String KEY = "durable-jobs";

	private static final Logger logger = LoggerFactory.getLogger(DurableJobsMarker.class);

	private static final byte[] VALUE = { 1 };

	/** How long a call waits at most until the marker is stored and read. */
	private static final long TIMEOUT_MILLIS = 1_000;

	private static final long NOT_READ = -1;

	private final EventLoop eventLoop;

	private final SharedLog log;

	private final List<CompletableFuture<Void>> waiting = new ArrayList<>();

	private long readOffset = NOT_READ;

	private boolean stored;

	private boolean appending;

	/**
	 * Creates a marker that was not read yet.
	 * @param eventLoop the event loop that runs timeouts
	 * @param log the client of the log
	 */
	DurableJobsMarker(EventLoop eventLoop, SharedLog log) {
		this.eventLoop = eventLoop;
		this.log = log;
	}

	/**
	 * Returns whether this host has read the marker and everything before it.
	 * @return whether the site has durable jobs
	 */
	boolean isStored() {
		return this.stored;
	}

	/**
	 * Stores the marker unless it is stored already.
	 * @return completes when this host has read the marker; fails with
	 * {@link CallException} if the log refuses it, or if that takes too long
	 */
	CompletableFuture<Void> store() {
		if (this.stored) {
			return CompletableFuture.completedFuture(null);
		}
		CompletableFuture<Void> result = new CompletableFuture<>();
		this.waiting.add(result);
		this.eventLoop.schedule(() -> expire(result), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		if (!this.appending) {
			append();
		}
		return result;
	}

	private void append() {
		this.appending = true;
		this.log.append(SharedTopic.MEMBERS, List.of(new NewRecord(KEY, VALUE)), OptionalLong.empty())
			.whenComplete((offset, error) -> {
				this.appending = false;
				if (error != null) {
					fail(CallException.from(error));
				}
				else {
					logger.atInfo()
						.addKeyValue("offset", offset)
						.log("Marker of the site's first durable job appended; the job is stored once it is read");
				}
			});
	}

	private void expire(CompletableFuture<Void> result) {
		if (this.waiting.remove(result)) {
			result.completeExceptionally(new CallException(CallException.Code.TIMEOUT,
					"The marker of durable jobs was not read from the members' topic in time"));
		}
	}

	private void fail(CallException error) {
		logger.atWarn()
			.addKeyValue("reason", error.getMessage())
			.log("Marker of the site's first durable job was not appended; that is repeated before the job is stored");
		List<CompletableFuture<Void>> failed = List.copyOf(this.waiting);
		this.waiting.clear();
		failed.forEach((result) -> result.completeExceptionally(error));
	}

	/**
	 * Receives a record of the marker's key.
	 * @param markerRecord the record
	 */
	void onRecord(KeyedRecord markerRecord) {
		if (markerRecord.value() != null) {
			this.readOffset = markerRecord.offset();
		}
	}

	/**
	 * Records up to where the members' topic has been read and applied. A load delivers
	 * records in the order of their keys, so that the marker alone tells nothing of what
	 * came before it.
	 * @param nextOffset the offset of the next record to read
	 */
	void onUpToDate(long nextOffset) {
		if (this.stored || this.readOffset == NOT_READ || this.readOffset >= nextOffset) {
			return;
		}
		this.stored = true;
		logger.atInfo()
			.addKeyValue("offset", this.readOffset)
			.log("The site has durable jobs; ends of unknown jobs are kept until the log has shown what they are");
		List<CompletableFuture<Void>> completed = List.copyOf(this.waiting);
		this.waiting.clear();
		completed.forEach((result) -> result.complete(null));
	}

}
