package org.masticwick.core.pool;

import java.util.List;

/**
 * What an endpoint tells when its lease is renewed.
 *
 * @param startedEpochMillis when its present life began, or 0 if it does not tell
 * @param clockMillis the endpoint's own clock in milliseconds
 * @param runningTasks what runs on it
 * @param terminatedRuns the ends that were not acknowledged yet
 */
public record EndpointReport(long startedEpochMillis, long clockMillis, List<RunningTask> runningTasks,
		List<TerminatedRun> terminatedRuns) {
}
