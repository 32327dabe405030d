package org.masticwick.core.connection;

import java.util.Map;

import org.masticwick.core.process.HostAddress;

/**
 * Tells peers how busy an entry host is.
 *
 * @param services the load by name of service
 * @param outstanding tasks of this entry host that run now, by endpoint
 * @param teamRunning tasks of this entry host that run now, by team
 */
public record LoadReport(Map<String, ServiceLoad> services, Map<HostAddress, Integer> outstanding,
		Map<String, Integer> teamRunning) {
}
