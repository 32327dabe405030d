package org.masticwick.daemon.process.settings;

import org.masticwick.core.process.HostAddress;

/**
 * Tells how an entry host talks to the platform.
 *
 * @param address where the platform listens
 * @param pollWaitMillis how long a read of the log waits for a record, in milliseconds
 * @param hostListIntervalMillis how often the host list is read, in milliseconds
 * @param leaseMillis the lease of this host's entry in the host list, in milliseconds
 * @param snapshotIntervalRecordCount after how many records a snapshot is written
 */
public record PlatformSettings(HostAddress address, long pollWaitMillis, long hostListIntervalMillis, long leaseMillis,
		int snapshotIntervalRecordCount) {

}
