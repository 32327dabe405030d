package org.masticwick.core.pool;

import java.util.List;

/**
 * Decides to which pool a durable job belongs. Only its name counts, so that a job that
 * is submitted again meets the first submission at any host.
 */
public final class AssignedPool {

	private AssignedPool() {
	}

	/**
	 * Decides.
	 * @param jobId the job
	 * @param pools the names of all pools, in the same order everywhere
	 * @return the pool
	 */
	public static String of(String jobId, List<String> pools) {
		return pools.get(Math.floorMod(jobId.hashCode(), pools.size()));
	}

}
