package org.masticwick.core.version;

import org.masticwick.core.process.HostAddress;

/**
 * Describes the capacity of one endpoint.
 *
 * @param address where its tasks are posted
 * @param domain the failure domain it stands in
 * @param rack the rack it stands in
 * @param service the service it runs
 * @param slotCount how many tasks it runs at once
 * @param connectionCount how many connections it takes at once
 * @param processorCount the number of its processors
 * @param memoryMegabytes its memory in megabytes
 * @param acceleratorCount the number of its accelerators
 */
public record EndpointSpec(HostAddress address, String domain, String rack, String service, int slotCount,
		int connectionCount, int processorCount, long memoryMegabytes, int acceleratorCount) {

}
