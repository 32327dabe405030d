package org.masticwick.core.pool;

/**
 * Identifies a termination that an endpoint reports.
 *
 * @param endpointId the id of the endpoint
 * @param startedEpochMillis the start time of the incarnation of the endpoint, in
 * milliseconds since 1970
 * @param number the number of the termination in that incarnation
 */
public record TerminationId(String endpointId, long startedEpochMillis, long number) {
}
