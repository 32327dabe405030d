package org.masticwick.core.connection;

import java.util.Map;

import org.masticwick.core.process.HostAddress;

/**
 * Tells peers the load of one entry host; travels in heartbeats. What is zero is left
 * out.
 *
 * @param services the load by service
 * @param outstanding how many tasks of this entry host each endpoint runs
 * @param teamRunning how many tasks of each team this entry host has running
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
