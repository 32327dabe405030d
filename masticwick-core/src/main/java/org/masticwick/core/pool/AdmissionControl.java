package org.masticwick.core.pool;

import java.util.Optional;

/**
 * Decides at once whether a job is taken. A job that could only be late is taken as long
 * as little waits, so that it can fill a gap; with more waiting it would take the place
 * of one that is still on time.
 */
final class AdmissionControl {

	/**
	 * How much work may wait for a late job to be taken or kept, in milliseconds of the
	 * pool.
	 */
	private static final double MAX_BACKLOG_FOR_LATE_MILLIS = 60;

	private static final long MIN_RETRY_MILLIS = 500;

	/**
	 * Decides.
	 * @param job the job
	 * @param waitMillis how long it would wait for those before it, in milliseconds
	 * @param backlogMillis how long all that waits takes, in milliseconds
	 * @param nowMillis the time in milliseconds
	 * @return the refusal, or empty if the job is taken
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
	 * Returns whether a job that has not begun gives way to those that are on time.
	 * @param job the job
	 * @param backlogMillis how long all that waits takes, in milliseconds
	 * @param nowMillis the time in milliseconds
	 * @return whether it is refused
	 */
	boolean shouldCancelWaiting(PooledJob job, double backlogMillis, long nowMillis) {
		boolean tooLate = nowMillis + job.expectedMillis() > job.latestUsefulMillis();
		boolean late = nowMillis > job.latestStartMillis();
		return tooLate || late && backlogMillis > MAX_BACKLOG_FOR_LATE_MILLIS;
	}

	/**
	 * Refuses a job that waited in vain.
	 * @param backlogMillis how long all that waits takes, in milliseconds
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
