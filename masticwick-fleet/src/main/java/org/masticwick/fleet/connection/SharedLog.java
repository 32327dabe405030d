package org.masticwick.fleet.connection;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Calls to the shared log. All answers fail with {@link CallException}.
 */
public interface SharedLog {

	/**
	 * Reads the newest record of each key.
	 * @param topic the topic
	 * @param afterKey the key to go on after, or an empty string
	 * @return the records; pages are not of one moment
	 */
	CompletableFuture<LogPage> readLatest(SharedTopic topic, String afterKey);

	/**
	 * Reads records in the order in which they were written.
	 * @param topic the topic
	 * @param fromOffset where to begin
	 * @param waitMillis how long to wait for a record, in milliseconds
	 * @return the records
	 */
	CompletableFuture<LogPage> read(SharedTopic topic, long fromOffset, long waitMillis);

	/**
	 * Appends records, all or none.
	 * @param topic the topic
	 * @param records the records
	 * @param expectedEnd where the topic must end for the call to have an effect, or
	 * empty
	 * @return the offset of the first record; the others follow in the order given
	 */
	CompletableFuture<Long> append(SharedTopic topic, List<NewRecord> records, OptionalLong expectedEnd);

}
