package org.masticwick.core.request.internal;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.version.EndpointSpec;

/**
 * Assigns the endpoints of a failure domain, and the slots of each endpoint, to its entry
 * hosts. Hosts that see the same hosts and endpoints compute the same assignment without
 * exchanging messages. If their views differ, the only effect is that an endpoint may
 * refuse a start.
 */
final class Ownership {

	private final Map<HostAddress, EntryHost> owners = new HashMap<>();

	private final Map<HostAddress, List<EntryHost>> hostsByWeight = new HashMap<>();

	private final int hostCount;

	private Ownership(int hostCount) {
		this.hostCount = hostCount;
	}

	/**
	 * Assigns endpoints to hosts by rendezvous hashing, so that few endpoints change
	 * their owner when a host joins or leaves. The numbers of endpoints that hosts own
	 * differ by at most one.
	 * @param endpoints the endpoints of the domain
	 * @param hosts the entry hosts of the domain, at least one
	 * @return the assignment
	 */
	static Ownership assign(Collection<EndpointSpec> endpoints, Collection<EntryHost> hosts) {
		Ownership ownership = new Ownership(hosts.size());
		List<HostWeight> weights = endpoints.stream()
			.flatMap((endpoint) -> hosts.stream().map((host) -> HostWeight.of(endpoint.address(), host)))
			.sorted(HostWeight.HIGHEST_FIRST)
			.toList();
		int minOwnedCount = endpoints.size() / hosts.size();
		Map<EntryHost, Integer> ownedCounts = new HashMap<>();
		ownership.assignUpTo(weights, minOwnedCount, ownedCounts);
		ownership.assignUpTo(weights, minOwnedCount + 1, ownedCounts);
		weights
			.forEach((weight) -> ownership.hostsByWeight.computeIfAbsent(weight.endpoint(), (key) -> new ArrayList<>())
				.add(weight.host()));
		return ownership;
	}

	/**
	 * Returns the host that owns an endpoint.
	 * @param endpoint the endpoint
	 * @return the owner; empty if the endpoint is not part of the assignment
	 */
	Optional<EntryHost> owner(HostAddress endpoint) {
		return Optional.ofNullable(this.owners.get(endpoint));
	}

	/**
	 * Returns whether a host owns an endpoint.
	 * @param host the host
	 * @param endpoint the endpoint
	 * @return {@code true} if so
	 */
	boolean owns(EntryHost host, HostAddress endpoint) {
		return host.equals(this.owners.get(endpoint));
	}

	/**
	 * Returns the number of slots of an endpoint that are assigned to a host.
	 * @param host the host
	 * @param endpoint the endpoint
	 * @return the number; 0 if the endpoint or the host is not part of the assignment
	 */
	int slotCount(EntryHost host, EndpointSpec endpoint) {
		List<EntryHost> hosts = this.hostsByWeight.getOrDefault(endpoint.address(), List.of());
		int position = hosts.indexOf(host);
		if (position < 0) {
			return 0;
		}
		return endpoint.slotCount() / this.hostCount + ((position < endpoint.slotCount() % this.hostCount) ? 1 : 0);
	}

	private void assignUpTo(List<HostWeight> weights, int maxOwnedCount, Map<EntryHost, Integer> ownedCounts) {
		for (HostWeight weight : weights) {
			boolean belowLimit = ownedCounts.getOrDefault(weight.host(), 0) < maxOwnedCount;
			if (belowLimit && this.owners.putIfAbsent(weight.endpoint(), weight.host()) == null) {
				ownedCounts.merge(weight.host(), 1, Integer::sum);
			}
		}
	}

	/**
	 * The rendezvous weight of a host for an endpoint: the host with the highest weight
	 * is the first choice as owner.
	 *
	 * @param endpoint the endpoint
	 * @param host the host
	 * @param weight the hash of endpoint and host
	 */
	private record HostWeight(HostAddress endpoint, EntryHost host, long weight) {

		static final Comparator<HostWeight> HIGHEST_FIRST = Comparator.comparingLong(HostWeight::weight)
			.reversed()
			.thenComparing(HostWeight::endpoint)
			.thenComparing((weight) -> weight.host().peerAddress())
			.thenComparing((weight) -> weight.host().incarnation());

		private static final long FNV_OFFSET = 0xcbf29ce484222325L;

		private static final long FNV_PRIME = 0x100000001b3L;

		static HostWeight of(HostAddress endpoint, EntryHost host) {
			long hash = FNV_OFFSET;
			for (byte octet : (endpoint + "|" + host).getBytes(StandardCharsets.UTF_8)) {
				hash = (hash ^ octet) * FNV_PRIME;
			}
			return new HostWeight(endpoint, host, mix(hash));
		}

		private static long mix(long value) {
			long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
			mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
			return mixed ^ (mixed >>> 33);
		}

	}

}
