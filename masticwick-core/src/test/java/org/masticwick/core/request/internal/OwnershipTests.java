package org.masticwick.core.request.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.version.EndpointSpec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Ownership}.
 */
class OwnershipTests {

	@ParameterizedTest
	@CsvSource({ "10, 3", "1, 3", "9, 9", "100, 7" })
	void assignsEvenly(int endpointCount, int hostCount) {
		List<EndpointSpec> endpoints = endpoints(endpointCount);
		List<EntryHost> hosts = hosts(hostCount);
		Ownership ownership = Ownership.assign(endpoints, hosts);
		assertThat(hosts).allSatisfy((host) -> assertThat(ownedCount(ownership, host, endpoints))
			.isBetween((long) endpointCount / hostCount, (long) endpointCount / hostCount + 1));
		assertThat(hosts.stream().mapToLong((host) -> ownedCount(ownership, host, endpoints)).sum())
			.isEqualTo(endpointCount);
		assertThat(endpoints).allSatisfy(
				(endpoint) -> assertThat(hosts.stream().mapToInt((host) -> ownership.slotCount(host, endpoint)).sum())
					.isEqualTo(endpoint.slotCount()));
	}

	@Test
	void isIndependentOfHostOrder() {
		List<EndpointSpec> endpoints = endpoints(20);
		List<EntryHost> hosts = new ArrayList<>(hosts(4));
		Ownership ownership = Ownership.assign(endpoints, hosts);
		Collections.reverse(hosts);
		Ownership ownershipOfReversedHosts = Ownership.assign(endpoints, hosts);
		assertThat(endpoints).allSatisfy((endpoint) -> assertThat(ownershipOfReversedHosts.owner(endpoint.address()))
			.isEqualTo(ownership.owner(endpoint.address())));
	}

	@Test
	void movesFewEndpointsWhenHostLeaves() {
		List<EndpointSpec> endpoints = endpoints(100);
		Ownership ownershipOfFive = Ownership.assign(endpoints, hosts(5));
		Ownership ownershipOfFour = Ownership.assign(endpoints, hosts(4));
		long movedCount = endpoints.stream()
			.filter((endpoint) -> !ownershipOfFive.owner(endpoint.address())
				.equals(ownershipOfFour.owner(endpoint.address())))
			.count();
		assertThat(movedCount).isBetween(20L, 45L);
	}

	private long ownedCount(Ownership ownership, EntryHost host, List<EndpointSpec> endpoints) {
		return endpoints.stream().filter((endpoint) -> ownership.owns(host, endpoint.address())).count();
	}

	private List<EndpointSpec> endpoints(int count) {
		return IntStream.rangeClosed(1, count)
			.mapToObj((number) -> new EndpointSpec(new HostAddress("10.0.1." + number, 80), "hobart", "r", "fitting", 8,
					64, 32, 1_000, 0))
			.toList();
	}

	private List<EntryHost> hosts(int count) {
		return IntStream.rangeClosed(1, count)
			.mapToObj((number) -> new EntryHost("hobart", new HostAddress("10.0.0." + number, 70),
					new Incarnation(number, number)))
			.toList();
	}

}
