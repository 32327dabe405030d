package org.masticwick.platform;

import java.time.Duration;
import java.util.List;

import org.masticwick.core.process.HostAddress;

/**
 * Reaches the platform: its append-only log and its list of hosts. Calls block until they
 * are answered or their time is up.
 */
public interface PlatformClient {

	/**
	 * Appends records to a stream in one synced write.
	 * @param stream the name of the stream
	 * @param records the texts of the records
	 * @return where they stand
	 * @throws PlatformException if the platform did not confirm the write, which may have
	 * taken effect nevertheless
	 */
	AppendResult append(String stream, List<String> records);

	/**
	 * Reads records of a stream, and waits while there are none.
	 * @param stream the name of the stream
	 * @param fromOffset the offset of the first record to read; beyond the end of the
	 * stream the answer comes at once and holds no records
	 * @param limit how many records to read at most
	 * @param wait how long to wait for a record
	 * @return the records
	 * @throws RecordsExpiredException if the record at the offset has expired
	 * @throws PlatformException if the platform did not answer
	 */
	LogPage read(String stream, long fromOffset, int limit, Duration wait);

	/**
	 * Reads the list of hosts, which lags behind reality.
	 * @return the hosts; the same object as before if the list has not changed and the
	 * platform says so
	 * @throws PlatformException if the platform did not answer
	 */
	List<PlatformHost> hosts();

	/**
	 * Puts a host on the list or renews its lease.
	 * @param host the host
	 * @param lease how long the entry stands without being renewed
	 * @throws PlatformException if the platform did not confirm it
	 */
	void register(PlatformHost host, Duration lease);

	/**
	 * Takes a host off the list.
	 * @param address the address of the host
	 * @throws PlatformException if the platform did not confirm it
	 */
	void deregister(HostAddress address);

}
