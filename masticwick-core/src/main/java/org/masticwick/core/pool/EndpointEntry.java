package org.masticwick.core.pool;

import java.util.Set;

import org.masticwick.core.process.HostAddress;

/**
 * The description of an endpoint in the endpoint list.
 *
 * @param id the id of the endpoint
 * @param service the service whose tasks the endpoint runs
 * @param address the address for requests to the endpoint
 * @param domain the failure domain of the endpoint
 * @param ready whether it accepts new tasks
 * @param capacity the resources for all its tasks together
 * @param labels the kind and the rack of the endpoint
 * @param startedEpochMillis the start time of its incarnation in milliseconds since 1970,
 * or 0 if unknown
 */
public record EndpointEntry(String id, String service, HostAddress address, String domain, boolean ready,
		Resources capacity, Set<String> labels, long startedEpochMillis) {

	/**
	 * Copies the set, so that the record is immutable.
	 */
	public EndpointEntry {
		labels = Set.copyOf(labels);
	}

	/**
	 * Returns the incarnation that the entry describes.
	 * @return the incarnation
	 */
	EndpointIncarnation incarnation() {
		return new EndpointIncarnation(this.id, this.address, this.startedEpochMillis);
	}

}
