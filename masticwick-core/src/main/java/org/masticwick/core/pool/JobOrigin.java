package org.masticwick.core.pool;

/**
 * Identifies the call that waits for the answer to a job.
 *
 * @param host the name of the entry host that received the job from its caller
 * @param callNumber the number of the call on that host
 */
public record JobOrigin(String host, long callNumber) {

	/** The origin of a job whose answer no caller waits for. */
	public static final JobOrigin NONE = new JobOrigin("", 0);

}
