package org.masticwick.core.pool;

import java.util.List;

/**
 * The state that an owner of pools hands over to the next one.
 *
 * @param endpoints the endpoints as last reported
 * @param jobs the unanswered jobs that are not durable
 * @param losses the losses of endpoints under tasks
 */
public record PoolTransfer(List<EndpointEntry> endpoints, List<JobTransfer> jobs, List<TaskLoss> losses) {

	/**
	 * Copies the lists, so that the record is immutable.
	 */
	public PoolTransfer {
		endpoints = List.copyOf(endpoints);
		jobs = List.copyOf(jobs);
		losses = List.copyOf(losses);
	}

}
