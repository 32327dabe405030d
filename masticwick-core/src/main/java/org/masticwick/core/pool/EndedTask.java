package org.masticwick.core.pool;

/**
 * One end in the list of an endpoint.
 *
 * @param number the place in the list, from 1 in each life of the endpoint
 * @param run the run that ended
 * @param kind how it ended
 */
public record EndedTask(long number, TaskRun run, EndKind kind) {
}
