package org.masticwick.core.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Tells which jobs may have a run that a previous owner of the pools has started. A
 * caller whose connection breaks submits its job again within milliseconds: the first
 * copy may have reached the previous owner, while the second one waits for this owner.
 * Durable jobs have a rule of their own ({@link RecoveryStatus}).
 */
final class PreviousOwnerRuns {

	/**
	 * How long after the takeover of a pool a job may reach its callers' host whose
	 * previous copy reached the previous owner, in milliseconds: the time between two
	 * copies and the delay of messages between hosts.
	 */
	static final long ARRIVAL_MARGIN_MILLIS = 200;

	private final EndpointTable endpoints;

	private final long leaseMaxMillis;

	private final Map<String, Long> assumedMillisByPool = new HashMap<>();

	private long lastAssumedMillis = Long.MIN_VALUE / 2;

	PreviousOwnerRuns(EndpointTable endpoints, long leaseMaxMillis) {
		this.endpoints = endpoints;
		this.leaseMaxMillis = leaseMaxMillis;
	}

	/**
	 * Records that this owner has assumed ownership of a pool.
	 * @param pool the name of the pool
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void poolAssumed(String pool, long nowMillis) {
		this.assumedMillisByPool.put(pool, nowMillis);
		this.lastAssumedMillis = nowMillis;
	}

	/**
	 * Returns the jobs that may have such a run now.
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the jobs
	 */
	SuspectedJobs suspectedJobs(long nowMillis) {
		// Each scheduling pass asks, and there are none but after a takeover.
		if (nowMillis - this.lastAssumedMillis >= this.leaseMaxMillis && !this.endpoints.hasOrphanedRuns()) {
			return SuspectedJobs.NONE;
		}
		Set<String> orphanedJobIds = this.endpoints.all()
			.stream()
			.filter((endpoint) -> nowMillis - endpoint.orphansExtendedMillis() < this.leaseMaxMillis)
			.flatMap((endpoint) -> endpoint.orphanedJobIds().stream())
			.collect(Collectors.toUnmodifiableSet());
		long receivedBeforeMillis = this.endpoints.all()
			.stream()
			.filter((endpoint) -> !endpoint.hasReported())
			.mapToLong((endpoint) -> receivedBeforeMillis(endpoint.entry().domain(), nowMillis))
			.max()
			.orElse(Long.MIN_VALUE);
		return new SuspectedJobs(orphanedJobIds, receivedBeforeMillis);
	}

	private long receivedBeforeMillis(String pool, long nowMillis) {
		Long assumedMillis = this.assumedMillisByPool.get(pool);
		boolean leasesExpired = assumedMillis == null || nowMillis - assumedMillis >= this.leaseMaxMillis;
		return leasesExpired ? Long.MIN_VALUE : assumedMillis + ARRIVAL_MARGIN_MILLIS;
	}

	/**
	 * The jobs that may have a run of a previous owner at a point in time.
	 *
	 * @param orphanedJobIds the ids of the jobs with runs that endpoints list and that
	 * this owner has not started
	 * @param receivedBeforeMillis before which time a caller's host has received a job
	 * that may run on an endpoint without report, in milliseconds
	 */
	record SuspectedJobs(Set<String> orphanedJobIds, long receivedBeforeMillis) {

		private static final SuspectedJobs NONE = new SuspectedJobs(Set.of(), Long.MIN_VALUE);

		/**
		 * Returns whether a job may have such a run. A job that this owner has started
		 * has been checked before, and one that was handed over has no run on an endpoint
		 * without report but those that were handed over with it.
		 * @param job the job
		 * @return whether no task of the job may start
		 */
		boolean contains(PooledJob job) {
			if (job.spec().durable() || job.isStarted()) {
				return false;
			}
			return job.isHandedOver() ? this.orphanedJobIds.contains(job.spec().jobId())
					: mayRun(job.spec().jobId(), job.receivedMillis());
		}

		/**
		 * Returns whether a job that this owner does not know may have such a run.
		 * @param jobId the id of the job
		 * @param receivedMillis when its callers' host received it, in milliseconds
		 * @return whether another owner must not start the job either
		 */
		boolean mayRun(String jobId, long receivedMillis) {
			return this.orphanedJobIds.contains(jobId) || receivedMillis < this.receivedBeforeMillis;
		}

		/**
		 * Returns why a job must wait, for the log.
		 * @param job a job that may have such a run
		 * @return the reason
		 */
		String reason(PooledJob job) {
			return this.orphanedJobIds.contains(job.spec().jobId()) ? "run-of-previous-owner" : "endpoints-not-heard";
		}

	}

}
