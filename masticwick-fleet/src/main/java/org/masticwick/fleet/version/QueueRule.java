package org.masticwick.fleet.version;

/**
 * The rules of a queue of jobs in a published version.
 *
 * @param name the name
 * @param hostName the virtual host of the requests that belong to the queue
 * @param pathPrefix the prefix of the paths of the requests that belong to the queue
 * @param service the service whose endpoints run the jobs
 * @param priority the priority of its jobs; 0 is the highest
 * @param maxAttempts how often a task may fail before its job has failed
 * @param stretch the multiple of the expected run time that a job may take to be on time
 * @param targetLatencyMillis the additional time that a job may take to be on time, in
 * milliseconds
 * @param timeoutMillis how long a request may take, in milliseconds
 * @param externallyRestricted whether a policy outside this host decides which endpoints
 * may run a step
 */
public record QueueRule(String name, String hostName, String pathPrefix, String service, int priority, int maxAttempts,
		double stretch, long targetLatencyMillis, long timeoutMillis, boolean externallyRestricted) {
}
