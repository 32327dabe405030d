package org.masticwick.core.pool;

/**
 * One run that an endpoint holds.
 *
 * @param run the run
 * @param percent how much of its work is done, in hundredths
 */
public record RunningTask(TaskRun run, int percent) {
}
