package org.masticwick.fleet.process;

import java.util.List;

import org.masticwick.core.process.HostAddress;

/**
 * Settings of an entry host.
 *
 * @param hostName the name of the host
 * @param domain the failure domain
 * @param domains the names of all failure domains
 * @param callerAddress where callers connect
 * @param readinessAddress where the load balancer checks whether the host is ready for
 * requests
 * @param peerAddress where other entry hosts connect
 * @param metricsAddress where metrics and the readiness are served
 * @param stopGraceMillis within which time the process must stop after a signal, in
 * milliseconds
 * @param processorMillicores the processor capacity of the host, in thousandths of a core
 * @param firstStart whether the whole site starts for the first time, so that its
 * endpoints have yet to register
 */
public record FleetSettings(String hostName, String domain, List<String> domains, HostAddress callerAddress,
		HostAddress readinessAddress, HostAddress peerAddress, HostAddress metricsAddress, long stopGraceMillis,
		int processorMillicores, boolean firstStart) {
}
