package org.masticwick.core.request;

import java.util.List;
import java.util.Map;

import org.masticwick.core.process.HostAddress;

/**
 * Is a copy of what the scheduler knows, for the dump of a process and its metrics.
 *
 * @param versionNumber the version that is in use
 * @param placement the name of the placement policy that is in use
 * @param services the services, by name
 * @param endpoints the endpoints, by address
 * @param teams the teams that have work, by name
 * @param counters what was counted since the start of the process
 */
public record SchedulerSnapshot(long versionNumber, String placement, List<Service> services, List<Endpoint> endpoints,
		List<Team> teams, Map<String, Long> counters) {

	/**
	 * Copies the collections.
	 */
	public SchedulerSnapshot {
		services = List.copyOf(services);
		endpoints = List.copyOf(endpoints);
		teams = List.copyOf(teams);
		counters = Map.copyOf(counters);
	}

	/**
	 * Is the work of one service.
	 *
	 * @param name the name of the service
	 * @param jobCount how many jobs have queued tasks
	 * @param queuedCount how many tasks wait
	 * @param urgentQueuedCount how many of them are urgent
	 * @param runningCount how many tasks are outstanding
	 * @param waitMillis how long a new task is expected to wait, in milliseconds
	 * @param retryTokenCount how many retries the budget allows at once
	 */
	public record Service(String name, int jobCount, int queuedCount, int urgentQueuedCount, int runningCount,
			long waitMillis, double retryTokenCount) {

	}

	/**
	 * Is what is known of one endpoint.
	 *
	 * @param address the address
	 * @param domain the failure domain
	 * @param service the service
	 * @param state its state
	 * @param slotCount how many tasks it runs at once
	 * @param outstandingCount how many tasks of this host it runs
	 * @param foreignCount the estimate of how many tasks of other hosts it runs
	 * @param ejected whether it is ejected
	 * @param ejectedMillis how long it stays ejected before the next probe, in
	 * milliseconds
	 * @param meanRunTimeMillis the mean run time of its tasks, in milliseconds; 0 if not
	 * known
	 * @param slowness its run times by those of all endpoints for the same kinds; 1 is
	 * usual
	 */
	public record Endpoint(HostAddress address, String domain, String service, EndpointState state, int slotCount,
			int outstandingCount, double foreignCount, boolean ejected, long ejectedMillis, long meanRunTimeMillis,
			double slowness) {

	}

	/**
	 * Is the work of one team.
	 *
	 * @param name the name of the team
	 * @param share the weight of its share
	 * @param queuedCount how many of its tasks wait
	 * @param runningCount how many of its tasks this host runs
	 * @param peerRunningCount how many of its tasks the peers run
	 */
	public record Team(String name, double share, int queuedCount, int runningCount, int peerRunningCount) {

	}

}
