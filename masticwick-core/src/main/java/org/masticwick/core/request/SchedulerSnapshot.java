package org.masticwick.core.request;

import java.util.List;
import java.util.Map;

import org.masticwick.core.process.HostAddress;

/**
 * An immutable snapshot of the scheduler's state, for the dump of a process and its
 * metrics. The dump contains it as JSON under the names of the components.
 *
 * @param versionNumber the number of the active version
 * @param placement the name of the active placement policy
 * @param drainedDomains the drained failure domains, ordered by name
 * @param services the services, ordered by name
 * @param endpoints the endpoints, ordered by address
 * @param teams the teams with queued or running tasks, ordered by name
 * @param counters the counters by name, counted since the start of the process
 */
public record SchedulerSnapshot(long versionNumber, String placement, List<String> drainedDomains,
		List<Service> services, List<Endpoint> endpoints, List<Team> teams, Map<String, Long> counters) {

	/**
	 * Creates the snapshot with immutable copies of the collections.
	 */
	public SchedulerSnapshot {
		drainedDomains = List.copyOf(drainedDomains);
		services = List.copyOf(services);
		endpoints = List.copyOf(endpoints);
		teams = List.copyOf(teams);
		counters = Map.copyOf(counters);
	}

	/**
	 * The queue and the running tasks of one service.
	 *
	 * @param name the name of the service
	 * @param jobCount the number of jobs with queued tasks
	 * @param queuedCount the number of queued tasks
	 * @param urgentQueuedCount the number of queued tasks of urgent jobs
	 * @param runningCount the number of outstanding tasks, which were started and have
	 * not terminated
	 * @param waitMillis the expected queue wait of a new task, in milliseconds
	 * @param retryTokenCount the number of retries left in the retry budget
	 */
	public record Service(String name, int jobCount, int queuedCount, int urgentQueuedCount, int runningCount,
			long waitMillis, double retryTokenCount) {

	}

	/**
	 * The state of one endpoint as seen by this host.
	 *
	 * @param address the address of the endpoint
	 * @param domain the failure domain
	 * @param service the name of the service that the endpoint runs
	 * @param state whether the endpoint accepts tasks, according to the active version
	 * and the platform
	 * @param drained whether the failure domain is drained, so that the endpoint receives
	 * no tasks
	 * @param slotCount the number of tasks that the endpoint runs at once
	 * @param outstandingCount the number of outstanding tasks of this host on the
	 * endpoint
	 * @param foreignCount the estimated number of tasks of peers on the endpoint
	 * @param ejected whether the endpoint is ejected and receives only probes
	 * @param ejectedMillis the time until the next probe of an ejected endpoint, in
	 * milliseconds
	 * @param meanRunTimeMillis the mean run time of the endpoint's tasks, in
	 * milliseconds; 0 if none has succeeded yet
	 * @param slowness the endpoint's run times relative to the mean of all endpoints for
	 * the same kinds of task; 1 means as fast as the mean
	 */
	public record Endpoint(HostAddress address, String domain, String service, EndpointState state, boolean drained,
			int slotCount, int outstandingCount, double foreignCount, boolean ejected, long ejectedMillis,
			long meanRunTimeMillis, double slowness) {

	}

	/**
	 * The queued and running tasks of one team.
	 *
	 * @param name the name of the team
	 * @param share the fair-share weight of the team
	 * @param queuedCount the number of queued tasks of the team
	 * @param runningCount the number of the team's tasks that this host has outstanding
	 * @param peerRunningCount the number of the team's tasks that peers have outstanding,
	 * by their last reports
	 */
	public record Team(String name, double share, int queuedCount, int runningCount, int peerRunningCount) {

	}

}
