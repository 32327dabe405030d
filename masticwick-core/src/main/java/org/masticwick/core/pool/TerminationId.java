package org.masticwick.core.pool;

/**
 * Names an end in the list of an endpoint.
 *
 * @param endpointId the endpoint
 * @param startedEpochMillis the life of the endpoint
 * @param number the number of the end in that life
 */
public record TerminationId(String endpointId, long startedEpochMillis, long number) {
}
