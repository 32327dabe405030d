package org.masticwick.standin.process;

import java.util.List;

import org.masticwick.core.process.HostAddress;

/**
 * Settings of the workers of one process.
 *
 * @param ip the IP address that the workers listen on
 * @param workerCount the number of workers
 * @param domain the failure domain of the workers
 * @param racks the racks that the workers are spread over, in order
 * @param service the service whose tasks the workers run
 * @param slotCount the number of tasks that each worker runs at once
 * @param maxConnectionCount the number of connections that each worker accepts; more are
 * closed at accept
 * @param platform the address of the platform whose host list the workers join, or
 * {@code null} for none
 */
public record WorkerOptions(String ip, int workerCount, String domain, List<String> racks, String service,
		int slotCount, int maxConnectionCount, HostAddress platform) {

	/**
	 * Makes the list of racks immutable.
	 */
	public WorkerOptions {
		racks = List.copyOf(racks);
	}

	/**
	 * Returns the rack of a worker. Workers with adjacent indexes share a rack, as far as
	 * the racks have more than one worker each.
	 * @param index the index of the worker
	 * @return the name of the rack
	 */
	public String rack(int index) {
		return this.racks.get((int) ((long) index * this.racks.size() / this.workerCount));
	}

}
