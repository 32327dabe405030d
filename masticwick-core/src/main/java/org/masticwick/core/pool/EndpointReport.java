package org.masticwick.core.pool;

import java.util.List;

/**
 * The report of an endpoint in the answer to a lease renewal.
 *
 * @param startedEpochMillis the start time of its incarnation in milliseconds since 1970,
 * or 0 if unknown
 * @param clockMillis the clock of the endpoint when it wrote the report, in milliseconds
 * @param runningTasks the tasks that run on it
 * @param terminatedRuns the terminated runs that are not acknowledged yet
 */
public record EndpointReport(long startedEpochMillis, long clockMillis, List<RunningTask> runningTasks,
		List<TerminatedRun> terminatedRuns) {

	/**
	 * How many terminations an endpoint lists at once, by the platform's contract with
	 * its endpoints.
	 */
	private static final int MAX_LISTED_TERMINATIONS = 500;

	/**
	 * Returns whether the report lists all terminations that are not acknowledged.
	 * @return whether no further termination can be missing from the report
	 */
	public boolean listsAllTerminations() {
		return this.terminatedRuns.size() < MAX_LISTED_TERMINATIONS;
	}

}
