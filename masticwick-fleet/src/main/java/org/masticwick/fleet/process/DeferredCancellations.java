package org.masticwick.fleet.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The jobs that callers' hosts gave up while an owner was handing its pools over. The
 * next owner may continue them, so that this one ends them only if the handover fails.
 */
final class DeferredCancellations {

	private final Set<String> lostHosts = new HashSet<>();

	private final Map<String, Set<Long>> abandonedCalls = new HashMap<>();

	/**
	 * Records that a callers' host was lost.
	 * @param peerAddress the peer address of the host
	 */
	void entryHostLost(String peerAddress) {
		this.lostHosts.add(peerAddress);
	}

	/**
	 * Records calls that a callers' host has given up.
	 * @param peerAddress the peer address of the host
	 * @param callNumbers the numbers of the calls
	 */
	void callsAbandoned(String peerAddress, Set<Long> callNumbers) {
		this.abandonedCalls.computeIfAbsent(peerAddress, (host) -> new HashSet<>()).addAll(callNumbers);
	}

	/**
	 * Ends the recorded jobs, as the handover has failed, and forgets them.
	 * @param hostLost ends the jobs of a host, by its peer address
	 * @param callsAbandoned ends the jobs of calls, by the peer address of their host
	 */
	void apply(Consumer<String> hostLost, BiConsumer<String, Set<Long>> callsAbandoned) {
		this.lostHosts.forEach(hostLost);
		this.lostHosts.clear();
		this.abandonedCalls.forEach(callsAbandoned);
		this.abandonedCalls.clear();
	}

}
