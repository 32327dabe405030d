package org.masticwick.fleet.connection;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Reads and appends the topics of the log that all entry hosts share. All returned
 * futures fail with {@link CallException}.
 */
public interface SharedLog {

	/**
	 * Reads a page of the latest records of all keys.
	 * @param topic the topic
	 * @param afterKey the continuation key of the previous page, or an empty string for
	 * the first page
	 * @return the page; the pages together are no consistent snapshot, as records may be
	 * appended while they are read
	 */
	CompletableFuture<LogPage> readLatest(SharedTopic topic, String afterKey);

	/**
	 * Reads records in the order of their offsets.
	 * @param topic the topic
	 * @param fromOffset the offset of the first record to read
	 * @param waitMillis how long the log may delay its reply while there is no record, in
	 * milliseconds; 0 for an immediate reply
	 * @return the records, none if there are none in time
	 */
	CompletableFuture<LogPage> read(SharedTopic topic, long fromOffset, long waitMillis);

	/**
	 * Appends records atomically.
	 * @param topic the topic
	 * @param records the records
	 * @param expectedEnd the end offset that the topic must have; if it has another, the
	 * call fails with {@link CallException.Code#CONFLICT}. Empty appends unconditionally
	 * @return the offset of the first record; the others follow in the order given
	 */
	CompletableFuture<Long> append(SharedTopic topic, List<NewRecord> records, OptionalLong expectedEnd);

}
