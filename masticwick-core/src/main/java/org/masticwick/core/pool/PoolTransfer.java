package org.masticwick.core.pool;

import java.util.List;

/**
 * What the owner of pools hands to the next one.
 *
 * @param endpoints the endpoints, as they were last known
 * @param jobs the jobs that are not answered yet
 */
public record PoolTransfer(List<EndpointEntry> endpoints, List<JobTransfer> jobs) {

	/**
	 * Copies the lists.
	 */
	public PoolTransfer {
		endpoints = List.copyOf(endpoints);
		jobs = List.copyOf(jobs);
	}

}
