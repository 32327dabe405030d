package org.masticwick.core.pool;

/**
 * An end that an endpoint lists.
 *
 * @param number the number of the end, which grows in one life of the endpoint
 * @param run the run
 * @param kind how it ended
 * @param checkpoint its newest checkpoint, or an empty string
 */
public record TerminatedRun(long number, TaskRun run, TerminationKind kind, String checkpoint) {

	/**
	 * Creates an end without a checkpoint.
	 * @param number the number of the end
	 * @param run the run
	 * @param kind how it ended
	 */
	public TerminatedRun(long number, TaskRun run, TerminationKind kind) {
		this(number, run, kind, "");
	}

}
