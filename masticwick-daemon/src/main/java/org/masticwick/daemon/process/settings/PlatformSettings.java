package org.masticwick.daemon.process.settings;

import org.masticwick.core.process.HostAddress;

/**
 * The section {@code platform}: the communication with the platform, which has the log
 * and the host list.
 *
 * @param address the address of the platform
 * @param pollWaitMillis how long a long-polling read of the log waits for new records, in
 * milliseconds
 * @param hostListIntervalMillis the interval at which the host list is read, in
 * milliseconds
 * @param leaseMillis the duration of the lease on this host's entry in the host list, in
 * milliseconds
 * @param snapshotIntervalRecordCount the number of log records after which a snapshot is
 * written
 */
public record PlatformSettings(HostAddress address, long pollWaitMillis, long hostListIntervalMillis, long leaseMillis,
		int snapshotIntervalRecordCount) {

}
