package org.masticwick.core.pool;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.masticwick.core.process.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link UrgentReservation}.
 */
class UrgentReservationTests {

	private final UrgentReservation reservation = new UrgentReservation(450);

	private final EndpointTable endpoints = new EndpointTable(450);

	private PooledEndpoint endpoint(String id, String service, long cpuMillicores, long usedMillicores) {
		PooledEndpoint endpoint = this.endpoints.listed(new EndpointEntry(id, service, new HostAddress("10.0.0.1", 80),
				"domain", true, new Resources(cpuMillicores, 1_000, 0), Set.of(), 0));
		endpoint.recordContact(0);
		endpoint.reserve(step(usedMillicores));
		return endpoint;
	}

	private static StepSpec step(long cpuMillicores) {
		return new StepSpec(1, new Resources(cpuMillicores, 1, 0), 60, List.of(), "", "", 0);
	}

	/**
	 * Guards against a large task of priority 0 that waits while smaller ones take each
	 * part of an endpoint that becomes free.
	 */
	@Test
	void keepsTheEndpointWithTheMostFreeCapacityUntilItIsReleased() {
		PooledEndpoint small = endpoint("small", "service", 16_000, 8_000);
		PooledEndpoint large = endpoint("large", "service", 16_000, 7_000);
		PooledEndpoint other = endpoint("other", "other-service", 16_000, 0);
		StepSpec step = step(12_000);
		this.reservation.add(new PooledJob(new JobSpec("job", "", List.of(step)),
				new JobTerms("queue", "service", 0, 2, 1.6, 60, 5_000, 1), JobOrigin.NONE, 0, 0,
				new RunTimeEstimator()));
		assertThat(this.reservation.isNeeded()).isTrue();
		this.reservation.reserve(this.endpoints, 0);
		assertThat(large.free().cpuMillicores()).isNegative();
		assertThat(small.free().cpuMillicores()).isEqualTo(8_000);
		this.reservation.release();
		assertThat(large.free().cpuMillicores()).isEqualTo(9_000);
		assertThat(this.reservation.isNeeded()).isFalse();
	}

}
