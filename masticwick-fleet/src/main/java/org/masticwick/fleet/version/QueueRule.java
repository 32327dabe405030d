package org.masticwick.fleet.version;

/**
 * A queue of jobs as published.
 *
 * @param name the name
 * @param hostName the virtual host that callers name
 * @param pathPrefix what the path of a request begins with
 * @param service the service whose endpoints run the jobs
 * @param priority the urgency, 0 first
 * @param maxAttempts how often a task may fail
 * @param stretch how many times the ideal run time a job may take to be on time
 * @param targetLatencyMillis what it may take beyond that, in milliseconds
 * @param timeoutMillis how long a request may take, in milliseconds
 * @param externallyRestricted whether a policy outside decides which endpoints may run a
 * step
 */
public record QueueRule(String name, String hostName, String pathPrefix, String service, int priority, int maxAttempts,
		double stretch, long targetLatencyMillis, long timeoutMillis, boolean externallyRestricted) {
}
