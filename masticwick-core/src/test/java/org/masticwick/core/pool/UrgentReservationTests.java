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

	private static PooledEndpoint endpoint(String id, long cpuMillicores) {
		PooledEndpoint endpoint = new PooledEndpoint(new EndpointEntry(id, "service", new HostAddress("10.0.0.1", 80),
				"domain", true, new Resources(cpuMillicores, 1_000, 0), Set.of(), 0));
		endpoint.recordContact(0);
		return endpoint;
	}

	/** Small tasks used to take each part of an endpoint that a large one waited for. */
	@Test
	void keepsTheEndpointWithTheMostFreeCapacityUntilItIsReleased() {
		PooledEndpoint small = endpoint("small", 8_000);
		PooledEndpoint large = endpoint("large", 9_000);
		StepSpec step = new StepSpec(1, new Resources(12_000, 1, 0), 60, List.of(), "", "", 0);
		this.reservation.add(new PooledJob(new JobSpec("job", "", List.of(step)),
				new JobTerms("queue", "service", 0, 2, 1.6, 60, 5_000, 1), JobOrigin.NONE, 0, 0,
				new RunTimeEstimator()));
		assertThat(this.reservation.isNeeded()).isTrue();
		this.reservation.reserve(List.of(small, large), 0);
		assertThat(large.free().cpuMillicores()).isNegative();
		assertThat(small.free().cpuMillicores()).isEqualTo(8_000);
		this.reservation.release();
		assertThat(large.free().cpuMillicores()).isEqualTo(9_000);
		assertThat(this.reservation.isNeeded()).isFalse();
	}

}
