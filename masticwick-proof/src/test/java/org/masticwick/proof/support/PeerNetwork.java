package org.masticwick.proof.support;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.masticwick.core.process.HostAddress;

/**
 * Puts a relay before the peer address of each entry host, and cuts failure domains off
 * from each other. Each host has an IP number of its own on loopback, from which it also
 * connects, so that relays know who comes. A cut is silent: open connections carry
 * nothing any more, and new ones lead nowhere.
 */
final class PeerNetwork implements AutoCloseable {

	private static final int PEER_PORT = 7_400;

	private static final int SECOND_BYTE_BASE = 64;

	private static final int SECOND_BYTE_COUNT = 128;

	private static final int BYTE_VALUE_COUNT = 256;

	private final Map<String, String> domainsByIp = new ConcurrentHashMap<>();

	private final Set<Set<String>> partitions = ConcurrentHashMap.newKeySet();

	private final List<TcpRelay> relays = new CopyOnWriteArrayList<>();

	/**
	 * Opens a relay for a new entry host.
	 * @param domain its failure domain
	 * @return the settings of the section {@code host} that make use of it
	 */
	Map<String, String> addHost(String domain) {
		HostAddress listenAddress = new HostAddress(nextIp(), PEER_PORT);
		this.domainsByIp.put(listenAddress.ip(), domain);
		TcpRelay relay = TcpRelay.to(listenAddress, (sourceIp) -> isPartitioned(domain, sourceIp));
		this.relays.add(relay);
		return Map.of("peer_address", "\"" + listenAddress + "\"", "peer_advertised_address",
				"\"" + relay.address() + "\"");
	}

	/**
	 * Cuts two failure domains off from each other.
	 * @param domain a failure domain
	 * @param otherDomain another one
	 */
	void partition(String domain, String otherDomain) {
		this.partitions.add(Set.of(domain, otherDomain));
		this.relays.forEach(TcpRelay::blackholePartitionedSources);
	}

	/** Lets all new connections pass. */
	void heal() {
		this.partitions.clear();
	}

	@Override
	public void close() {
		this.relays.forEach(TcpRelay::close);
	}

	private boolean isPartitioned(String domain, String sourceIp) {
		String sourceDomain = this.domainsByIp.getOrDefault(sourceIp, domain);
		return !sourceDomain.equals(domain) && this.partitions.contains(Set.of(domain, sourceDomain));
	}

	private String nextIp() {
		long pid = ProcessHandle.current().pid();
		return String.format(Locale.ROOT, "127.%d.%d.%d", SECOND_BYTE_BASE + pid % SECOND_BYTE_COUNT,
				pid / SECOND_BYTE_COUNT % BYTE_VALUE_COUNT, LoopbackIps.next());
	}

	/**
	 * Counts the IP numbers that this process has given out.
	 */
	private static final class LoopbackIps {

		private static int last;

		private LoopbackIps() {
		}

		static synchronized int next() {
			last++;
			return last;
		}

	}

}
