package org.masticwick.fleet.version;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * What was published last.
 *
 * @param number the number, which grows from version to version
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
	 * Finds the queue of a request: the one with the longest prefix.
	 * @param hostName the virtual host
	 * @param path the path
	 * @return the queue, or empty if there is none
	 */
	public Optional<QueueRule> findQueue(String hostName, String path) {
		return this.queues.stream()
			.filter((queue) -> queue.hostName().equalsIgnoreCase(hostName) && path.startsWith(queue.pathPrefix()))
			.max(Comparator.comparingInt((queue) -> queue.pathPrefix().length()));
	}

}
