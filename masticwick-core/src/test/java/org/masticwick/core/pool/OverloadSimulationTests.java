package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates overload and checks which jobs are served, in comparison with
 * {@link LatestStartAdmission}.
 */
class OverloadSimulationTests {

	private static final long SEED = 20_261_204;

	private static final int POOL_COUNT = 3;

	private static final String URGENT_QUEUE = "check";

	private static PoolSimulation.Load burstWithOutage() {
		return PoolSimulation.Load.small(0.7)
			.with(14_000, List.of(new PoolSimulation.Burst("", 1.9, 4_000, 11_000)),
					new PoolSimulation.Outage(0.2, 4_000, 11_000));
	}

	private static double earned(Map<String, PoolSimulation.Result> results) {
		return results.values().stream().mapToDouble(PoolSimulation.Result::earnedValue).sum();
	}

	private static double servedShare(PoolSimulation.Result result) {
		return result.servedCount() / result.submittedCount();
	}

	@ParameterizedTest
	@ValueSource(doubles = { 1.1, 1.4, 2.0 })
	void priorityZeroIsServedAndTheValueIsHigherThanByLatestStartTime(double scale) {
		System.out.println("seed " + SEED);
		PoolSimulation.Load load = PoolSimulation.Load.small(scale);
		Map<String, PoolSimulation.Result> results = new PoolSimulation(load, POOL_COUNT, SEED).run();
		Map<String, PoolSimulation.Result> before = new PoolSimulation(load, POOL_COUNT, SEED,
				LatestStartAdmission::new)
			.run();
		assertThat(servedShare(results.get(URGENT_QUEUE))).isGreaterThanOrEqualTo(0.97);
		assertThat(earned(results)).isGreaterThan(earned(before));
	}

	@Test
	void nothingChangesWhileCapacityIsSufficient() {
		System.out.println("seed " + SEED);
		PoolSimulation.Load load = PoolSimulation.Load.small(0.7);
		Map<String, PoolSimulation.Result> results = new PoolSimulation(load, POOL_COUNT, SEED).run();
		Map<String, PoolSimulation.Result> before = new PoolSimulation(load, POOL_COUNT, SEED,
				LatestStartAdmission::new)
			.run();
		assertThat(earned(results)).isEqualTo(earned(before));
	}

	@ParameterizedTest
	@ValueSource(doubles = { 1.1, 1.4, 2.0 })
	void noQueueIsStarvedInAnySecond(double scale) {
		System.out.println("seed " + SEED);
		PoolSimulation simulation = new PoolSimulation(PoolSimulation.Load.small(scale), POOL_COUNT, SEED);
		simulation.run();
		assertThat(simulation.resultsBySecond()).hasSize(3);
		assertThat(simulation.resultsBySecond().values())
			.allSatisfy((seconds) -> assertThat(seconds.headMap(10L).values()).hasSize(10)
				.allMatch((result) -> result.servedCount() > 0));
	}

	@Test
	void largeJobsAreServedHalfAsOftenAsTheirQueue() {
		System.out.println("seed " + SEED);
		PoolSimulation.Load load = PoolSimulation.Load.small(2.0).withBudget(6_000);
		Map<String, PoolSimulation.Result> results = new PoolSimulation(load, POOL_COUNT, SEED).run();
		assertThat(results.values()).allSatisfy((result) -> {
			assertThat(result.servedShare(0.9, 1)).isGreaterThanOrEqualTo(servedShare(result) / 2);
			assertThat(result.servedShare(0.7, 0.9)).isGreaterThanOrEqualTo(servedShare(result) / 2);
		});
	}

	@Test
	void aDeploymentWithOnePriorityEarnsAsMuchAsByLatestStartTime() {
		System.out.println("seed " + SEED);
		PoolSimulation.Load load = PoolSimulation.Load.small(1.4).withPriority(1);
		Map<String, PoolSimulation.Result> results = new PoolSimulation(load, POOL_COUNT, SEED).run();
		Map<String, PoolSimulation.Result> before = new PoolSimulation(load, POOL_COUNT, SEED,
				LatestStartAdmission::new)
			.run();
		assertThat(earned(results)).isGreaterThan(0.97 * earned(before));
	}

	@Nested
	class BurstsWithOutage {

		@Test
		void priorityZeroIsServedAndTheValueIsHigherThanByLatestStartTime() {
			System.out.println("seed " + SEED);
			Map<String, PoolSimulation.Result> results = new PoolSimulation(burstWithOutage(), POOL_COUNT, SEED).run();
			Map<String, PoolSimulation.Result> before = new PoolSimulation(burstWithOutage(), POOL_COUNT, SEED,
					LatestStartAdmission::new)
				.run();
			assertThat(servedShare(results.get(URGENT_QUEUE))).isGreaterThanOrEqualTo(0.97);
			assertThat(earned(results)).isGreaterThan(earned(before));
		}

		@Test
		void ofTheUrgentQueueAloneAreServed() {
			System.out.println("seed " + SEED);
			PoolSimulation.Load load = PoolSimulation.Load.small(0.7)
				.with(12_000, List.of(new PoolSimulation.Burst(URGENT_QUEUE, 3, 4_000, 9_000)),
						new PoolSimulation.Outage(0.2, 4_000, 9_000));
			Map<String, PoolSimulation.Result> results = new PoolSimulation(load, POOL_COUNT, SEED).run();
			assertThat(servedShare(results.get(URGENT_QUEUE))).isGreaterThanOrEqualTo(0.97);
		}

	}

	@Nested
	class Recovery {

		private static final long OVERLOAD_END_SECOND = 12;

		private PoolSimulation simulation() {
			PoolSimulation.Load load = PoolSimulation.Load.small(0.7)
				.with(18_000, List.of(new PoolSimulation.Burst("", 2.0 / 0.7, 2_000, 1_000 * OVERLOAD_END_SECOND)),
						new PoolSimulation.Outage(0, 0, 0))
				.withReturningCallers();
			return new PoolSimulation(load, POOL_COUNT, SEED);
		}

		/** Guards against callers who return together and keep the overload up. */
		@Test
		void allJobsAreServedTwoSecondsLater() {
			System.out.println("seed " + SEED);
			PoolSimulation simulation = simulation();
			simulation.run();
			List<Double> refusedShares = new ArrayList<>();
			simulation.resultsBySecond()
				.values()
				.forEach((seconds) -> seconds.subMap(OVERLOAD_END_SECOND + 2, OVERLOAD_END_SECOND + 6)
					.values()
					.forEach((result) -> refusedShares.add(result.share(JobOutcome.Kind.REFUSED))));
			assertThat(refusedShares).hasSize(12).allMatch((share) -> share < 0.05, "less than 0.05");
		}

		@Test
		void callersReturnWithinTheCapacity() {
			System.out.println("seed " + SEED);
			PoolSimulation simulation = simulation();
			simulation.run();
			double workPerSecond = 1_000.0 * PoolSimulation.Load.small(1).totalMillicores();
			assertThat(simulation.returnedWorkBySecond().values()).isNotEmpty()
				.allMatch((work) -> work < 0.3 * workPerSecond,
						"near the fifth of the capacity that the usual load leaves");
		}

	}

}
