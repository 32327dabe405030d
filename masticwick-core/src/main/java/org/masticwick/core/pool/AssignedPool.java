package org.masticwick.core.pool;

import java.util.List;

/**
 * Assigns durable jobs to pools by the hash of the job id alone, so that a resubmitted
 * job reaches the pool of its first submission from any host.
 */
public final class AssignedPool {

	private AssignedPool() {
	}

	/**
	 * Returns the pool that a job is assigned to.
	 * @param jobId the id of the job
	 * @param pools the names of all pools, in the same order on all hosts
	 * @return the name of the pool
	 */
	public static String of(String jobId, List<String> pools) {
		return pools.get(Math.floorMod(jobId.hashCode(), pools.size()));
	}

}
