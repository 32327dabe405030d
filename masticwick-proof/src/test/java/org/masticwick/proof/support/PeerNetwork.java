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

	private static final int PORT = 7_400;

	private static final int FIRST_BYTE_BASE = 64;

	private static final int FIRST_BYTE_COUNT = 128;

	private static final int BYTE_COUNT = 256;

	private final Map<String, String> domainsByIp = new ConcurrentHashMap<>();

	private final Set<Set<String>> cuts = ConcurrentHashMap.newKeySet();

	private final List<TcpRelay> relays = new CopyOnWriteArrayList<>();

	/**
	 * Opens a relay for a new entry host.
	 * @param domain its failure domain
	 * @return the settings of the section {@code host} that make use of it
	 */
	Map<String, String> addHost(String domain) {
		HostAddress listening = new HostAddress(nextIp(), PORT);
		this.domainsByIp.put(listening.ip(), domain);
		TcpRelay relay = TcpRelay.to(listening, (source) -> isCut(domain, source));
		this.relays.add(relay);
		return Map.of("peer_address", "\"" + listening + "\"", "peer_advertised_address",
				"\"" + relay.address() + "\"");
	}

	/**
	 * Cuts two failure domains off from each other.
	 * @param one a failure domain
	 * @param other another one
	 */
	void cut(String one, String other) {
		this.cuts.add(Set.of(one, other));
		this.relays.forEach(TcpRelay::silenceCutSources);
	}

	/** Lets all new connections pass. */
	void heal() {
		this.cuts.clear();
	}

	@Override
	public void close() {
		this.relays.forEach(TcpRelay::close);
	}

	private boolean isCut(String domain, String source) {
		String other = this.domainsByIp.getOrDefault(source, domain);
		return !other.equals(domain) && this.cuts.contains(Set.of(domain, other));
	}

	private String nextIp() {
		long pid = ProcessHandle.current().pid();
		return String.format(Locale.ROOT, "127.%d.%d.%d", FIRST_BYTE_BASE + pid % FIRST_BYTE_COUNT,
				pid / FIRST_BYTE_COUNT % BYTE_COUNT, Ips.next());
	}

	/**
	 * Counts the IP numbers that this process has given out.
	 */
	private static final class Ips {

		private static int last;

		private Ips() {
		}

		static synchronized int next() {
			last++;
			return last;
		}

	}

}
