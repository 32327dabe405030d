package org.masticwick.core.pool;

/**
 * A terminated run as reported by an endpoint.
 *
 * @param number the number of the termination, which increases during one incarnation of
 * the endpoint
 * @param run the run
 * @param kind how the run terminated
 * @param checkpoint the newest checkpoint of the run, or an empty string
 */
public record TerminatedRun(long number, TaskRun run, TerminationKind kind, String checkpoint) {

	/**
	 * Creates a terminated run without a checkpoint.
	 * @param number the number of the termination
	 * @param run the run
	 * @param kind how the run terminated
	 */
	public TerminatedRun(long number, TaskRun run, TerminationKind kind) {
		this(number, run, kind, "");
	}

}
