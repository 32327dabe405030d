package org.masticwick.core.request.internal;

import java.util.List;
import java.util.random.RandomGenerator;

import org.masticwick.core.process.EntryHost;

/**
 * Is what a placement policy may look at besides the endpoints.
 *
 * @param nowNanos the time
 * @param service the service
 * @param decayNanos the time in which a peer's count is out of date, in nanoseconds
 * @param self this host
 * @param hosts the entry hosts of the domain, this one among them
 * @param ownership how endpoints and slots are divided among them
 * @param peerReports the reports of the peers
 * @param overflowReserveCount how many slots to leave free on endpoints of others
 * @param random the source of randomness
 */
record PlacementContext(long nowNanos, String service, double decayNanos, EntryHost self, List<EntryHost> hosts,
		Ownership ownership, PeerReports peerReports, int overflowReserveCount, RandomGenerator random) {

}
