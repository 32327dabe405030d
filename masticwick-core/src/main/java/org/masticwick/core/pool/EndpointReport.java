package org.masticwick.core.pool;

import java.util.List;

/**
 * What an endpoint tells when its lease is renewed.
 *
 * @param bornEpochMillis when its present life began, or 0 if it does not tell
 * @param clockMillis the endpoint's own clock in milliseconds
 * @param running what runs on it
 * @param ended the ends that were not acknowledged yet
 */
public record EndpointReport(long bornEpochMillis, long clockMillis, List<RunningTask> running,
		List<TerminatedRun> ended) {
}
