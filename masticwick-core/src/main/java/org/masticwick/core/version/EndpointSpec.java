package org.masticwick.core.version;

import org.masticwick.core.process.HostAddress;

/**
 * Describes the capacity of one endpoint.
 *
 * @param address the address that its tasks are sent to
 * @param domain the failure domain that it belongs to
 * @param rack the rack that it is installed in
 * @param service the name of the service that it runs
 * @param slotCount the maximum number of tasks that it runs at once
 * @param connectionCount the maximum number of connections that it accepts at once
 * @param processorCount the number of its processors
 * @param memoryMegabytes its memory in megabytes
 * @param acceleratorCount the number of its accelerators
 */
public record EndpointSpec(HostAddress address, String domain, String rack, String service, int slotCount,
		int connectionCount, int processorCount, long memoryMegabytes, int acceleratorCount) {

}
