package org.masticwick.daemon.process.settings;

/**
 * The section {@code dispatch}: limits on the queueing and starting of tasks.
 *
 * @param queueTaskCountMax the maximum number of queued tasks
 * @param queueWaitMaxMillis the maximum estimated queue wait at which a job is still
 * admitted, in milliseconds
 * @param retryBudgetFraction the maximum ratio of retries to first attempts
 * @param connectTimeoutMillis the connect timeout for endpoints, in milliseconds
 * @param endpointSilenceMinMillis the minimum time without an answer of the endpoint
 * after which the status of a started task is looked up, in milliseconds
 */
public record DispatchSettings(int queueTaskCountMax, long queueWaitMaxMillis, double retryBudgetFraction,
		long connectTimeoutMillis, long endpointSilenceMinMillis) {

}
