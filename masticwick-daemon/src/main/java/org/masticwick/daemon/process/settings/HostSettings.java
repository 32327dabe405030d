package org.masticwick.daemon.process.settings;

import java.net.InetSocketAddress;

import org.masticwick.core.process.HostAddress;

/**
 * Tells who and where an entry host is.
 *
 * @param domain the failure domain
 * @param apiAddress where callers are served; port 0 lets the system choose
 * @param peerAddress where other entry hosts are served; port 0 lets the system choose
 * @param peerAdvertisedAddress where other entry hosts reach this one, if that is not
 * {@code peerAddress}; else {@code null}
 */
public record HostSettings(String domain, InetSocketAddress apiAddress, InetSocketAddress peerAddress,
		HostAddress peerAdvertisedAddress) {

}
