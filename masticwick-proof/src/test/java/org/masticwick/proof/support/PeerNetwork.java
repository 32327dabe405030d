package org.masticwick.proof.support;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.masticwick.core.process.HostAddress;

/**
 * Puts a relay in front of the peer address of each entry host and simulates network
 * partitions between failure domains. Each host has its own loopback IP address, which it
 * also connects from, so that a relay can identify the source of a connection. A
 * partition discards traffic without an error: open connections stay open but carry no
 * more bytes, and new ones are accepted but not connected to the target.
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
	 * @return the settings of section {@code host} that route peer traffic through the
	 * relay, each value in TOML syntax
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
	 * Partitions two failure domains from each other.
	 * @param domain a failure domain
	 * @param otherDomain another failure domain
	 */
	void partition(String domain, String otherDomain) {
		this.partitions.add(Set.of(domain, otherDomain));
		this.relays.forEach(TcpRelay::blackholePartitionedSources);
	}

	/**
	 * Ends all partitions for new connections. Connections that were blackholed stay
	 * blackholed.
	 */
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
	 * Numbers the loopback IP addresses that this process has allocated.
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
