package org.masticwick.standin.process;

import java.util.List;

import org.masticwick.core.process.HostAddress;

/**
 * Holds how the workers of a process are set up.
 *
 * @param ip the IP number they listen on
 * @param workerCount how many there are
 * @param domain their failure domain
 * @param racks the racks they are spread over, in order
 * @param service the service they run
 * @param slotCount how many tasks each runs at once
 * @param maxConnectionCount how many connections each takes at once
 * @param platform where they take a lease, or {@code null} for nowhere
 */
public record WorkerOptions(String ip, int workerCount, String domain, List<String> racks, String service,
		int slotCount, int maxConnectionCount, HostAddress platform) {

	/**
	 * Copies the racks.
	 */
	public WorkerOptions {
		racks = List.copyOf(racks);
	}

	/**
	 * Returns the rack of a worker; neighbours share a rack.
	 * @param index the index of the worker
	 * @return the name of the rack
	 */
	public String rack(int index) {
		return this.racks.get((int) ((long) index * this.racks.size() / this.workerCount));
	}

}
