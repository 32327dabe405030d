package org.masticwick.core.connection;

import org.masticwick.core.process.HostAddress;

/**
 * An entry host in the platform's host list, which lags behind the actual hosts.
 *
 * @param address the peer address
 * @param domain the failure domain
 * @param leaving whether the list marks the host as leaving
 */
public record ListedHost(HostAddress address, String domain, boolean leaving) {
}
