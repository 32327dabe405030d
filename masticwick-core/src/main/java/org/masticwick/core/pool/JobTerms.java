package org.masticwick.core.pool;

/**
 * The terms of a queue that hold for a job.
 *
 * @param queue the name of the queue
 * @param service the service whose endpoints run the tasks
 * @param priority the urgency, 0 first
 * @param maxAttempts how often a task may fail before its job has failed
 * @param stretch how many times the ideal run time a job may take to be on time
 * @param targetLatencyMillis what a job may take beyond that to be on time, in
 * milliseconds
 * @param budgetMillis how long the caller still waits, in milliseconds
 * @param versionNumber the version that the terms are of
 */
public record JobTerms(String queue, String service, int priority, int maxAttempts, double stretch,
		long targetLatencyMillis, long budgetMillis, long versionNumber) {
}
