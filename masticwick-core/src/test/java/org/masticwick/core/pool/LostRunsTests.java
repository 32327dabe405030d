package org.masticwick.core.pool;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

/**
 * Tests for what a {@link PoolScheduler} reports of runs that are lost with their
 * endpoint.
 */
class LostRunsTests {

	private final RecordedActions actions = new RecordedActions();

	private final PoolScheduler scheduler = new PoolScheduler(PoolSettings.defaults(), this.actions);

	private final SimulatedEndpoints endpoints = new SimulatedEndpoints(this.scheduler, this.actions, 1);

	private void submit(int taskCount) {
		StepSpec step = new StepSpec(taskCount, new Resources(27_000, 1, 0), 1_000, List.of(), "", "", 0);
		this.scheduler.submit(new JobSpec("job", "payload", List.of(step)),
				new JobTerms("queue", "service", 0, 2, 1.6, 60, 20_000, 3), new JobOrigin("host-1", 1),
				this.endpoints.nowMillis());
	}

	@Nested
	class Reporting {

		@Test
		void namesTheRunsOfAnEndpointWhoseLeaseHasExpired() {
			LostRunsTests.this.endpoints.runMillis(10_000);
			submit(2);
			LostRunsTests.this.endpoints.play(500);
			LostRunsTests.this.endpoints.cut("endpoint-0");
			LostRunsTests.this.endpoints.play(1_000);
			assertThat(LostRunsTests.this.actions.lostRuns()).extracting(LostRun::cause, LostRun::otherRunCount)
				.containsOnly(tuple(LossCause.LEASE_EXPIRED, 1))
				.hasSize(2);
			assertThat(LostRunsTests.this.actions.restartedEndpoints()).isEmpty();
		}

		@Test
		void namesAnEndpointThatHasRestarted() {
			LostRunsTests.this.endpoints.runMillis(10_000);
			submit(1);
			LostRunsTests.this.endpoints.play(500);
			LostRunsTests.this.endpoints.crash("endpoint-0");
			LostRunsTests.this.endpoints.play(4_000);
			assertThat(LostRunsTests.this.actions.lostRuns()).hasSize(1);
			assertThat(LostRunsTests.this.actions.restartedEndpoints()).containsExactly("endpoint-0");
		}

	}

}
