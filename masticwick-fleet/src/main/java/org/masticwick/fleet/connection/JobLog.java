package org.masticwick.fleet.connection;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Calls to the part of the shared log that keeps durable jobs. Each partition has one
 * writer at a time, told by its epoch. All answers fail with {@link CallException}.
 */
public interface JobLog {

	/**
	 * Returns how many partitions there are.
	 * @return the number
	 */
	int partitionCount();

	/**
	 * Reads the newest record of each key.
	 * @param partition the partition
	 * @param afterKey the key to go on after, or an empty string
	 * @return the records; pages are not of one moment
	 */
	CompletableFuture<LogPage> readLatestJobs(int partition, String afterKey);

	/**
	 * Appends records, all or none. A call that is repeated with the same sequence has an
	 * effect once.
	 * @param partition the partition
	 * @param epoch the epoch of the writer; lower ones are refused from now on
	 * @param sequence the number of the call in this epoch
	 * @param records the records, or none to only set the epoch
	 * @return ends when the log has them
	 */
	CompletableFuture<Void> appendJobs(int partition, long epoch, long sequence, List<NewRecord> records);

}
