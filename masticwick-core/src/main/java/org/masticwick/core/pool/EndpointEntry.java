package org.masticwick.core.pool;

import java.util.Set;

import org.masticwick.core.process.HostAddress;

/**
 * What an endpoint says of itself.
 *
 * @param id the identity
 * @param service the service that it runs tasks of
 * @param address where it takes orders
 * @param domain the failure domain
 * @param ready whether it takes new tasks
 * @param capacity what all its tasks together may take
 * @param labels its kind and its rack
 * @param startedEpochMillis when its present life began, or 0 if it does not tell
 */
public record EndpointEntry(String id, String service, HostAddress address, String domain, boolean ready,
		Resources capacity, Set<String> labels, long startedEpochMillis) {

	/**
	 * Copies the set.
	 */
	public EndpointEntry {
		labels = Set.copyOf(labels);
	}

}
