package org.masticwick.core.pool;

import java.util.Optional;

/**
 * Decides on submission whether a job is admitted. A job that can only finish late is
 * admitted while the backlog is small, so that it uses idle capacity; with a larger
 * backlog it would displace a job that can still be on time.
 */
final class AdmissionControl {

	/**
	 * The largest backlog with which a late job is admitted or kept, in milliseconds of
	 * the whole pool.
	 */
	private static final double MAX_BACKLOG_FOR_LATE_MILLIS = 60;

	private static final long MIN_RETRY_MILLIS = 500;

	/**
	 * Decides whether a job is admitted.
	 * @param job the job
	 * @param waitMillis the time until the jobs ahead of it have started, in milliseconds
	 * @param backlogMillis how long the pool needs for all waiting jobs, in milliseconds
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the refusal, or empty if the job is admitted
	 */
	Optional<JobOutcome> check(PooledJob job, double waitMillis, double backlogMillis, long nowMillis) {
		double startMillis = nowMillis + waitMillis;
		if (startMillis + job.expectedMillis() > job.latestUsefulMillis()) {
			return Optional.of(refuse("no-time-left", backlogMillis));
		}
		if (startMillis > job.latestStartMillis() && backlogMillis > MAX_BACKLOG_FOR_LATE_MILLIS) {
			return Optional.of(refuse("would-be-late", backlogMillis));
		}
		return Optional.empty();
	}

	/**
	 * Returns whether a waiting job that has not started is cancelled in favour of jobs
	 * that can be on time.
	 * @param job the job
	 * @param backlogMillis how long the pool needs for all waiting jobs, in milliseconds
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return whether to refuse the job
	 */
	boolean shouldCancelWaiting(PooledJob job, double backlogMillis, long nowMillis) {
		boolean tooLate = nowMillis + job.expectedMillis() > job.latestUsefulMillis();
		boolean late = nowMillis > job.latestStartMillis();
		return tooLate || late && backlogMillis > MAX_BACKLOG_FOR_LATE_MILLIS;
	}

	/**
	 * Refuses a job that was admitted but not started in time.
	 * @param backlogMillis how long the pool needs for all waiting jobs, in milliseconds
	 * @return the refusal
	 */
	JobOutcome refuseAfterWaiting(double backlogMillis) {
		return refuse("waited-in-vain", backlogMillis);
	}

	JobOutcome refuse(String reason, double backlogMillis) {
		long retryAfterMillis = MIN_RETRY_MILLIS + (long) backlogMillis;
		return new JobOutcome(JobOutcome.Kind.REFUSED, retryAfterMillis, reason);
	}

}
