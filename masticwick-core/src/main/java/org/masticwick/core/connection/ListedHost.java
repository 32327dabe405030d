package org.masticwick.core.connection;

import org.masticwick.core.process.HostAddress;

/**
 * Holds an entry host as it stands in the platform's list, which lags.
 *
 * @param address the peer address
 * @param domain the failure domain
 * @param leaving whether the list says that the host is leaving
 */
public record ListedHost(HostAddress address, String domain, boolean leaving) {
}
