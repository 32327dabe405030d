package org.masticwick.daemon.process.settings;

import java.net.InetSocketAddress;

import org.masticwick.core.process.HostAddress;

/**
 * The section {@code host}: the failure domain and the addresses of an entry host.
 *
 * @param domain the failure domain
 * @param apiAddress the address on which callers are served; with port 0 the system
 * chooses a port
 * @param peerAddress the address on which other entry hosts are served; with port 0 the
 * system chooses a port
 * @param peerAdvertisedAddress the address at which other entry hosts reach this one;
 * {@code null} if it is the one that this host listens on for peers
 */
public record HostSettings(String domain, InetSocketAddress apiAddress, InetSocketAddress peerAddress,
		HostAddress peerAdvertisedAddress) {

}
