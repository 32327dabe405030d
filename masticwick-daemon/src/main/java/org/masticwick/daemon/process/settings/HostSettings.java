package org.masticwick.daemon.process.settings;

import java.net.InetSocketAddress;

/**
 * Tells who and where an entry host is.
 *
 * @param domain the failure domain
 * @param apiAddress where callers are served; port 0 lets the system choose
 * @param peerAddress where other entry hosts are served; port 0 lets the system choose
 */
public record HostSettings(String domain, InetSocketAddress apiAddress, InetSocketAddress peerAddress) {

}
