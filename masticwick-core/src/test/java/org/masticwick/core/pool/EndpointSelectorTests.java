package org.masticwick.core.pool;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.masticwick.core.process.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EndpointSelector}.
 */
class EndpointSelectorTests {

	private static final long NOW_MILLIS = 1_000;

	private final EndpointSelector selector = new EndpointSelector(450);

	private final PooledEndpoint slow = endpoint("slow", 64_000);

	private final PooledEndpoint fast = endpoint("fast", 64_000);

	@BeforeEach
	void learnSpeeds() {
		for (int index = 0; index < 50; index++) {
			this.slow.health().succeeded(1.4);
			this.fast.health().succeeded(0.6);
		}
	}

	private static PooledEndpoint endpoint(String id, long cpuMillicores) {
		PooledEndpoint endpoint = new PooledEndpoint(new EndpointEntry(id, "service", new HostAddress("10.0.0.1", 80),
				"domain", true, new Resources(cpuMillicores, 1_000, 0), Set.of(), 1), new CommandCounter());
		endpoint.recordContact(NOW_MILLIS);
		return endpoint;
	}

	private static PooledTask task(long estimatedMillis, long budgetMillis) {
		JobTerms terms = new JobTerms("queue", "service", 0, 2, 1.6, 60, budgetMillis, 3);
		PooledJob job = new PooledJob(new JobSpec("job", "", List.of(step(estimatedMillis))), terms,
				new JobOrigin("host", 1), 1, NOW_MILLIS, new RunTimeEstimator());
		return job.firstTasks().get(0);
	}

	private static StepSpec step(long estimatedMillis) {
		return new StepSpec(1, new Resources(32_000, 1, 0), estimatedMillis, List.of(), "", "", 0);
	}

	private PooledEndpoint select(PooledTask task, PooledEndpoint... endpoints) {
		return this.selector.select(task, List.of(endpoints), NOW_MILLIS).orElseThrow();
	}

	/**
	 * Guards against speed being ignored for tasks that a slow endpoint ends too late.
	 */
	@Nested
	class ATask {

		@Test
		void thatWouldEndTooLateOnASlowEndpointGoesToAFastOne() {
			EndpointSelectorTests.this.slow.reserve(step(1));
			assertThat(select(task(800, 1_500), EndpointSelectorTests.this.slow, EndpointSelectorTests.this.fast))
				.isSameAs(EndpointSelectorTests.this.fast);
		}

		@Test
		void thatEndsInTimeFillsTheEndpointInUse() {
			EndpointSelectorTests.this.slow.reserve(step(1));
			assertThat(select(task(40, 1_500), EndpointSelectorTests.this.slow, EndpointSelectorTests.this.fast))
				.isSameAs(EndpointSelectorTests.this.slow);
		}

		@Test
		void startsOnASlowEndpointIfNoOtherIsFree() {
			assertThat(select(task(800, 1_500), EndpointSelectorTests.this.slow))
				.isSameAs(EndpointSelectorTests.this.slow);
		}

	}

	/**
	 * Guards against weights in cores, which mean something else on sites with endpoints
	 * of another size.
	 */
	@Nested
	class TheChoice {

		@Test
		void doesNotDependOnTheUnitOfSizes() {
			for (long cpuMillicores : new long[] { 32_000, 64_000, 6_400_000 }) {
				PooledEndpoint half = endpoint("half", cpuMillicores);
				PooledEndpoint idle = endpoint("idle", cpuMillicores);
				half.reserve(new StepSpec(1, new Resources(cpuMillicores / 2, 1, 0), 1, List.of(), "", "", 0));
				StepSpec step = new StepSpec(1, new Resources(cpuMillicores / 2, 1, 0), 40, List.of(), "", "", 0);
				JobTerms terms = new JobTerms("queue", "service", 0, 2, 1.6, 60, 1_500, 3);
				PooledJob job = new PooledJob(new JobSpec("job", "", List.of(step)), terms, new JobOrigin("host", 1), 1,
						NOW_MILLIS, new RunTimeEstimator());
				half.health().succeeded(4);
				idle.health().succeeded(0.25);
				assertThat(select(job.firstTasks().get(0), idle, half)).isSameAs(half);
			}
		}

	}

}
