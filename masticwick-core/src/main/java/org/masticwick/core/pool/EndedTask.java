package org.masticwick.core.pool;

/**
 * An end that an endpoint lists.
 *
 * @param number the number of the end, which grows in one life of the endpoint
 * @param run the run
 * @param kind how it ended
 * @param checkpoint its newest checkpoint, or an empty string
 */
public record EndedTask(long number, TaskRun run, EndKind kind, String checkpoint) {

	/**
	 * Creates an end without a checkpoint.
	 * @param number the number of the end
	 * @param run the run
	 * @param kind how it ended
	 */
	public EndedTask(long number, TaskRun run, EndKind kind) {
		this(number, run, kind, "");
	}

}
