package org.masticwick.core.request.internal;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

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

	private final Map<HostAddress, List<EntryHost>> sharers = new HashMap<>();

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
	static Ownership divide(Collection<EndpointSpec> endpoints, Collection<EntryHost> hosts) {
		Ownership ownership = new Ownership(hosts.size());
		List<Claim> claims = endpoints.stream()
			.flatMap((endpoint) -> hosts.stream().map((host) -> Claim.of(endpoint.address(), host)))
			.sorted(Claim.STRONGEST_FIRST)
			.toList();
		int least = endpoints.size() / hosts.size();
		Map<EntryHost, Integer> ownedCounts = new HashMap<>();
		ownership.assign(claims, least, ownedCounts);
		ownership.assign(claims, least + 1, ownedCounts);
		claims.forEach((claim) -> ownership.sharers.computeIfAbsent(claim.endpoint(), (key) -> new ArrayList<>())
			.add(claim.host()));
		return ownership;
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
		List<EntryHost> hosts = this.sharers.getOrDefault(endpoint.address(), List.of());
		int place = hosts.indexOf(host);
		if (place < 0) {
			return 0;
		}
		return endpoint.slotCount() / this.hostCount + ((place < endpoint.slotCount() % this.hostCount) ? 1 : 0);
	}

	private void assign(List<Claim> claims, int limitCount, Map<EntryHost, Integer> ownedCounts) {
		for (Claim claim : claims) {
			boolean room = ownedCounts.getOrDefault(claim.host(), 0) < limitCount;
			if (room && this.owners.putIfAbsent(claim.endpoint(), claim.host()) == null) {
				ownedCounts.merge(claim.host(), 1, Integer::sum);
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
	private record Claim(HostAddress endpoint, EntryHost host, long weight) {

		static final Comparator<Claim> STRONGEST_FIRST = Comparator.comparingLong(Claim::weight)
			.reversed()
			.thenComparing(Claim::endpoint)
			.thenComparing((claim) -> claim.host().peerAddress())
			.thenComparing((claim) -> claim.host().incarnation());

		private static final long FNV_OFFSET = 0xcbf29ce484222325L;

		private static final long FNV_PRIME = 0x100000001b3L;

		static Claim of(HostAddress endpoint, EntryHost host) {
			long hash = FNV_OFFSET;
			for (byte part : (endpoint + "|" + host).getBytes(StandardCharsets.UTF_8)) {
				hash = (hash ^ part) * FNV_PRIME;
			}
			return new Claim(endpoint, host, mix(hash));
		}

		private static long mix(long value) {
			long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
			mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
			return mixed ^ (mixed >>> 33);
		}

	}

}
