package org.masticwick.core.pool;

/**
 * A copy of an interactive job that an owner is about to run.
 *
 * @param jobId the id of the job
 * @param pool the pool of that owner that the copy was sent to
 * @param refusedBy the pool that has refused this copy before, or an empty string
 * @param waitedMillis how long the caller has waited until now, in milliseconds, or
 * {@link JobTerms#UNKNOWN_WAIT}
 * @param repeated whether this copy was registered before, and the answer was lost or
 * left the decision open
 */
public record JobRegistration(String jobId, String pool, String refusedBy, long waitedMillis, boolean repeated) {

	/**
	 * Returns when the caller's host received the copy.
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the time in milliseconds, long ago if it is unknown
	 */
	public long receivedMillis(long nowMillis) {
		return (this.waitedMillis < 0) ? Long.MIN_VALUE / 2 : nowMillis - this.waitedMillis;
	}

}
