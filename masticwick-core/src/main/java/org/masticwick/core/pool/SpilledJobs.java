package org.masticwick.core.pool;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Records, at the owner of a failure domain, which jobs of the domain's callers went to
 * the pools of other owners. A caller whose connection breaks may send a job twice within
 * milliseconds, and the copies may reach two hosts; the later copy follows the earlier
 * one, so that no two owners run the job.
 * <p>
 * Not thread-safe: all calls must come from one thread and pass monotonic times.
 */
public final class SpilledJobs {

	/**
	 * How long a job is recorded, in milliseconds; longer than a job whose caller waits
	 * usually takes.
	 */
	private static final long RECORDED_MILLIS = 5_000;

	private final Map<String, Spill> spills = new LinkedHashMap<>();

	private final Predicate<String> reachablePools;

	/**
	 * Creates an empty record.
	 * @param reachablePools tells whether the owner of a pool is reachable. No copy
	 * follows an earlier one to an owner that is lost; the runs there end before the
	 * caller submits the job again
	 */
	public SpilledJobs(Predicate<String> reachablePools) {
		this.reachablePools = reachablePools;
	}

	/**
	 * Returns the pool that a copy of a job goes to, and records it.
	 * @param jobId the id of the job
	 * @param pool the pool that was selected for this copy
	 * @param refusedBy the pool that this method returned for this copy before and that
	 * has refused it since, or an empty string
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the selected pool, or the one that an earlier copy went to
	 */
	public String place(String jobId, String pool, String refusedBy, long nowMillis) {
		removeExpired(nowMillis);
		Spill earlier = this.spills.get(jobId);
		if (earlier == null || earlier.isOnlyCopyRefusedBy(refusedBy) || !this.reachablePools.test(earlier.pool)) {
			this.spills.remove(jobId);
			this.spills.put(jobId, new Spill(pool, 1, nowMillis));
			return pool;
		}
		int copyCount = earlier.copyCount + (refusedBy.isEmpty() ? 1 : 0);
		this.spills.put(jobId, new Spill(earlier.pool, copyCount, earlier.recordedMillis));
		return earlier.pool;
	}

	/**
	 * Returns the pool that a job went to.
	 * @param jobId the id of the job
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the pool, or empty if the job is not recorded or the pool is unreachable
	 */
	public Optional<String> poolOf(String jobId, long nowMillis) {
		removeExpired(nowMillis);
		return Optional.ofNullable(this.spills.get(jobId)).map(Spill::pool).filter(this.reachablePools);
	}

	private void removeExpired(long nowMillis) {
		var oldest = this.spills.values().iterator();
		while (oldest.hasNext() && nowMillis - oldest.next().recordedMillis > RECORDED_MILLIS) {
			oldest.remove();
		}
	}

	/**
	 * A job that went to the pool of another owner.
	 *
	 * @param pool the pool
	 * @param copyCount how many copies went there
	 * @param recordedMillis when the first one was recorded, in milliseconds
	 */
	private record Spill(String pool, int copyCount, long recordedMillis) {

		private boolean isOnlyCopyRefusedBy(String refusingPool) {
			return this.copyCount == 1 && this.pool.equals(refusingPool);
		}

	}

}
