package org.masticwick.core.connection;

import java.util.Map;

import org.masticwick.core.process.HostAddress;

/**
 * The load of one entry host, which it sends to its peers in heartbeats. A complete
 * report omits entries of value zero; a report of changes holds a zero for each removed
 * entry.
 *
 * @param services the load by service name
 * @param outstanding the number of tasks of this entry host on each endpoint, by endpoint
 * address
 * @param teamRunning the number of running tasks of this entry host by team name
 */
public record LoadReport(Map<String, ServiceLoad> services, Map<HostAddress, Integer> outstanding,
		Map<String, Integer> teamRunning) {

	/** The report of a host without work. */
	public static final LoadReport EMPTY = new LoadReport(Map.of(), Map.of(), Map.of());

	/**
	 * Copies the maps.
	 */
	public LoadReport {
		services = Map.copyOf(services);
		outstanding = Map.copyOf(outstanding);
		teamRunning = Map.copyOf(teamRunning);
	}

}
