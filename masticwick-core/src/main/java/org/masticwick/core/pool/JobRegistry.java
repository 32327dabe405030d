package org.masticwick.core.pool;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Records, at the owner of a pool, which pool runs each interactive job that is assigned
 * to its pool. A caller whose connection breaks may submit a job twice within
 * milliseconds, and the copies may reach the owners of two failure domains; the later
 * copy follows the earlier one, so that no two owners run the job.
 * <p>
 * Not thread-safe: all calls must come from one thread and pass monotonic times.
 */
public final class JobRegistry {

	/**
	 * How long a job is recorded, in milliseconds; longer than a job whose caller waits
	 * usually takes.
	 */
	private static final long RECORDED_MILLIS = 30_000;

	/**
	 * After how long callers submit a job again whose connection broke, in milliseconds.
	 * The runs at an owner that was lost have ended by then; see docs/design/PLATFORM.md.
	 */
	static final long RESUBMISSION_MILLIS = 1_300;

	private final Map<String, Entry> entries = new LinkedHashMap<>();

	private final Predicate<String> reachablePools;

	/**
	 * Creates an empty registry.
	 * @param reachablePools tells whether the owner of a pool is reachable
	 */
	public JobRegistry(Predicate<String> reachablePools) {
		this.reachablePools = reachablePools;
	}

	/**
	 * Records the pool of a copy of a job, unless an earlier copy went to another one. An
	 * entry from the time before this owner knew of all jobs tells only that all owners
	 * have to be asked, as another one may have run the job without its knowledge.
	 * @param registration the copy
	 * @param settledSinceMillis since when this owner has known of all jobs that it has
	 * to register, in milliseconds; {@link Long#MAX_VALUE} if it does not
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the answer, which tells to wait if an earlier copy may still run in a pool
	 * whose owner is unreachable
	 */
	public RegistrationAnswer register(JobRegistration registration, long settledSinceMillis, long nowMillis) {
		removeExpired(nowMillis);
		Entry earlier = this.entries.get(registration.jobId());
		boolean settled = settledSinceMillis <= nowMillis;
		if (earlier == null) {
			record(registration, nowMillis);
			return new RegistrationAnswer(registration.pool(),
					settled ? RegistrationScope.SITE : RegistrationScope.OWNER);
		}
		if (earlier.recordedMillis < settledSinceMillis) {
			return new RegistrationAnswer(registration.pool(), RegistrationScope.OWNER);
		}
		return registerCopy(registration, earlier, nowMillis);
	}

	private RegistrationAnswer registerCopy(JobRegistration registration, Entry earlier, long nowMillis) {
		boolean lost = !earlier.pool.equals(registration.pool()) && !this.reachablePools.test(earlier.pool);
		if (lost && nowMillis - earlier.latestCopyMillis < RESUBMISSION_MILLIS) {
			return new RegistrationAnswer(registration.pool(), RegistrationScope.COPY_EXISTS);
		}
		if (lost || earlier.isOnlyCopyRefusedBy(registration.refusedBy())) {
			record(registration, nowMillis);
			return new RegistrationAnswer(registration.pool(), RegistrationScope.SITE);
		}
		if (!registration.repeated() && registration.refusedBy().isEmpty()) {
			this.entries.put(registration.jobId(), earlier.withCopy(nowMillis));
		}
		return new RegistrationAnswer(earlier.pool, RegistrationScope.SITE);
	}

	// The oldest entry comes first, so that expired ones are found without a search.
	private void record(JobRegistration registration, long nowMillis) {
		this.entries.remove(registration.jobId());
		this.entries.put(registration.jobId(), new Entry(registration.pool(), 1, nowMillis, nowMillis));
	}

	private void removeExpired(long nowMillis) {
		var oldest = this.entries.values().iterator();
		while (oldest.hasNext() && nowMillis - oldest.next().recordedMillis > RECORDED_MILLIS) {
			oldest.remove();
		}
	}

	/**
	 * A registered job.
	 *
	 * @param pool the pool that runs it
	 * @param copyCount how many copies went there
	 * @param recordedMillis when the first one was recorded, in milliseconds
	 * @param latestCopyMillis when the latest one was recorded, in milliseconds
	 */
	private record Entry(String pool, int copyCount, long recordedMillis, long latestCopyMillis) {

		private boolean isOnlyCopyRefusedBy(String refusingPool) {
			return this.copyCount == 1 && this.pool.equals(refusingPool);
		}

		private Entry withCopy(long nowMillis) {
			return new Entry(this.pool, this.copyCount + 1, this.recordedMillis, nowMillis);
		}

	}

}
