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
 * @param readinessAddress where the balancer asks whether the host takes requests
 * @param peerAddress where other entry hosts connect
 * @param metricsAddress where metrics and the state are served
 * @param stopGraceMillis how long the process has to stop after a signal, in milliseconds
 * @param processorMillicores how much processor the host has, in thousandths of a core
 */
public record FleetSettings(String hostName, String domain, List<String> domains, HostAddress callerAddress,
		HostAddress readinessAddress, HostAddress peerAddress, HostAddress metricsAddress, long stopGraceMillis,
		int processorMillicores) {
}
