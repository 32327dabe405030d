package org.masticwick.platform;

import java.time.Duration;
import java.util.List;

import org.masticwick.core.process.HostAddress;

/**
 * Accesses the platform: its append-only log and its list of hosts. Calls block until the
 * platform responds or they time out.
 */
public interface PlatformClient {

	/**
	 * Appends records to a stream in one write that is synced to disk.
	 * @param stream the name of the stream
	 * @param records the texts of the records
	 * @return the offsets of the records
	 * @throws PlatformException if the platform did not confirm the write, which may have
	 * taken effect nevertheless
	 */
	AppendResult append(String stream, List<String> records);

	/**
	 * Reads records of a stream. If the stream ends at the offset, waits for a record.
	 * @param stream the name of the stream
	 * @param fromOffset the offset of the first record to read; if it is beyond the end
	 * of the stream, the call returns at once without records
	 * @param limit the maximum number of records to read
	 * @param wait the maximum time to wait for a record
	 * @return the records, none if there were none in time
	 * @throws RecordsExpiredException if the record at the offset has expired
	 * @throws PlatformException if the platform did not respond
	 */
	LogPage read(String stream, long fromOffset, int limit, Duration wait);

	/**
	 * Reads the list of hosts, which reflects changes with a delay.
	 * @return the hosts; the same object as in the previous call if the platform reports
	 * that the list has not changed
	 * @throws PlatformException if the platform did not respond
	 */
	List<PlatformHost> hosts();

	/**
	 * Adds a host to the list of hosts, or updates its entry and renews the lease.
	 * @param host the host
	 * @param lease how long the entry remains without being renewed
	 * @throws PlatformException if the platform did not confirm the registration, which
	 * may have taken effect nevertheless
	 */
	void register(PlatformHost host, Duration lease);

	/**
	 * Removes a host from the list of hosts.
	 * @param address the address of the host
	 * @throws PlatformException if the platform did not confirm the removal, which may
	 * have taken effect nevertheless
	 */
	void deregister(HostAddress address);

}
