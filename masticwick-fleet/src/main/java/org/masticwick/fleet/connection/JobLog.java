package org.masticwick.fleet.connection;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Reads and appends the records of durable jobs, which the log keeps in a partitioned
 * topic. Each partition has one writer at a time: a higher epoch fences off the writers
 * with lower ones. All returned futures fail with {@link CallException}.
 */
public interface JobLog {

	/**
	 * Returns the number of partitions of the topic.
	 * @return the number
	 */
	int partitionCount();

	/**
	 * Reads a page of the latest records of all keys.
	 * @param partition the partition
	 * @param afterKey the continuation key of the previous page, or an empty string for
	 * the first page
	 * @return the page; the pages together are no consistent snapshot, as records may be
	 * appended while they are read
	 */
	CompletableFuture<LogPage> readLatestJobs(int partition, String afterKey);

	/**
	 * Appends records atomically. The call is idempotent: repeated with the same epoch
	 * and sequence, it takes effect once.
	 * @param partition the partition
	 * @param epoch the epoch of the writer; the log refuses lower epochs from now on
	 * @param sequence the sequence number of the call within the epoch
	 * @param records the records, or an empty list to set the epoch only
	 * @return completes when the log has stored the records
	 */
	CompletableFuture<Void> appendJobs(int partition, long epoch, long sequence, List<NewRecord> records);

}
