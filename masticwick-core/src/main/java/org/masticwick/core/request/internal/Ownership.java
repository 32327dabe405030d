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
 * Divides endpoints, and the slots of each, among the entry hosts of a failure domain.
 * Hosts that know the same hosts and endpoints come to the same division without a
 * message; where they don't, a start may be refused, no more.
 */
final class Ownership {

	private final Map<HostAddress, EntryHost> owners = new HashMap<>();

	private final Map<HostAddress, List<EntryHost>> hostsByWeight = new HashMap<>();

	private final int hostCount;

	private Ownership(int hostCount) {
		this.hostCount = hostCount;
	}

	/**
	 * Divides endpoints. Each host owns the same number of them or one more; which ones
	 * goes by rendezvous hashing, so that few change their owner when hosts come and go.
	 * @param endpoints the endpoints of the domain
	 * @param hosts the entry hosts of the domain, at least one
	 * @return the division
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
	 * @return the host; empty if the endpoint is not among those that were divided
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
	 * Returns how many slots of an endpoint are a host's own.
	 * @param host the host
	 * @param endpoint the endpoint
	 * @return the number
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
	 * Is the weight with which a host claims an endpoint.
	 *
	 * @param endpoint the endpoint
	 * @param host the host
	 * @param weight the weight
	 */
	private record HostWeight(HostAddress endpoint, EntryHost host, long weight) {

		static final Comparator<HostWeight> HIGHEST_FIRST = Comparator.comparingLong(HostWeight::weight)
			.reversed()
			.thenComparing(HostWeight::endpoint)
			.thenComparing((claim) -> claim.host().peerAddress())
			.thenComparing((claim) -> claim.host().incarnation());

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
