package org.masticwick.core.request.internal;

import java.util.List;
import java.util.random.RandomGenerator;

import org.masticwick.core.process.EntryHost;

/**
 * The inputs of a placement decision besides the endpoints.
 *
 * @param nowNanos the current time
 * @param service the name of the service
 * @param decayNanos the time constant with which reported counts lose weight, in
 * nanoseconds
 * @param self this host
 * @param hosts the entry hosts of the failure domain, including this one
 * @param ownership the assignment of endpoints and slots to these hosts
 * @param peerReports the load reports of the peers
 * @param overflowReserveCount the number of slots to leave free on endpoints of peers
 * @param random the source of randomness
 */
record PlacementContext(long nowNanos, String service, double decayNanos, EntryHost self, List<EntryHost> hosts,
		Ownership ownership, PeerReports peerReports, int overflowReserveCount, RandomGenerator random) {

}
