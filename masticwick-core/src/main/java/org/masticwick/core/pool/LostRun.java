package org.masticwick.core.pool;

/**
 * A run that terminated together with all others on its endpoint.
 *
 * @param endpoint the endpoint
 * @param run the run
 * @param cause why the runs are lost
 * @param runMillis the time since the start was requested, in milliseconds
 * @param otherRunCount how many other runs are lost with it
 */
public record LostRun(EndpointEntry endpoint, TaskRun run, LossCause cause, long runMillis, int otherRunCount) {
}
