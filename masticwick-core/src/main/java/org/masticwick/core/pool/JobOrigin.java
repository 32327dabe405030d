package org.masticwick.core.pool;

/**
 * Tells who waits for the answer on a job.
 *
 * @param host the name of the entry host that took the job from its caller
 * @param callNumber the number of the call on that host
 */
public record JobOrigin(String host, long callNumber) {

	/** Nobody waits. */
	public static final JobOrigin NONE = new JobOrigin("", 0);

}
