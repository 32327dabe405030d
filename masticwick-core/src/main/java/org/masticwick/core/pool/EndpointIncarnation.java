package org.masticwick.core.pool;

import org.masticwick.core.process.HostAddress;

/**
 * Identifies one incarnation of an endpoint, from its start until it stops or crashes.
 *
 * @param endpointId the id of the endpoint, which may change with a restart
 * @param address the address for requests to the endpoint
 * @param startedEpochMillis the start time in milliseconds since 1970, or 0 if unknown
 */
public record EndpointIncarnation(String endpointId, HostAddress address, long startedEpochMillis) {

	/**
	 * Returns whether another incarnation proves that this one has ended: it started
	 * later, under the same id or at the same address.
	 * @param other the other incarnation
	 * @return whether this one has ended
	 */
	boolean isSucceededBy(EndpointIncarnation other) {
		return this.startedEpochMillis > 0 && other.startedEpochMillis > this.startedEpochMillis
				&& (this.endpointId.equals(other.endpointId) || this.address.equals(other.address));
	}

}
