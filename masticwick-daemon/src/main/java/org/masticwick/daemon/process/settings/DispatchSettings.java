package org.masticwick.daemon.process.settings;

/**
 * Bounds the queueing and the starting of tasks.
 *
 * @param queueTaskCountMax the most tasks that wait
 * @param queueWaitMaxMillis the longest expected wait that is let in, in milliseconds
 * @param retryBudgetFraction how many further attempts are made for each first attempt
 * @param connectTimeoutMillis how long a connection to an endpoint may take, in
 * milliseconds
 * @param endpointSilenceMinMillis the least silence after which a task is looked up, in
 * milliseconds
 */
public record DispatchSettings(int queueTaskCountMax, long queueWaitMaxMillis, double retryBudgetFraction,
		long connectTimeoutMillis, long endpointSilenceMinMillis) {

}
