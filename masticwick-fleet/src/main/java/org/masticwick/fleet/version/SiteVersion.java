package org.masticwick.fleet.version;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * A version published by operators: the rules by which hosts serve requests.
 *
 * @param number the version number, which increases with each version
 * @param queues the queues
 * @param limits the limits on requests
 */
public record SiteVersion(long number, List<QueueRule> queues, RequestLimits limits) {

	/**
	 * Copies the list.
	 */
	public SiteVersion {
		queues = List.copyOf(queues);
	}

	/**
	 * Finds the queue of a request: of the queues with its virtual host, the one with the
	 * longest path prefix that matches.
	 * @param hostName the virtual host of the request, in any case
	 * @param path the path of the request
	 * @return the queue, or empty if there is none
	 */
	public Optional<QueueRule> findQueue(String hostName, String path) {
		return this.queues.stream()
			.filter((queue) -> queue.hostName().equalsIgnoreCase(hostName) && path.startsWith(queue.pathPrefix()))
			.max(Comparator.comparingInt((queue) -> queue.pathPrefix().length()));
	}

}
