package org.masticwick.core.pool;

import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates endpoints of unequal speed and tasks of which three percent take seven times
 * as long as the others. The bounds are relative to the rule that moved every run that
 * took three times as long as expected, measured with the same seeds.
 */
class UnevenEndpointsTests {

	private static final int POOL_COUNT = 4;

	private static List<PoolSimulation> simulations(double scale, RunVariation variation, int seedCount) {
		System.out.println("seeds 1 to " + seedCount);
		return LongStream.rangeClosed(1, seedCount)
			.mapToObj(
					(seed) -> new PoolSimulation(PoolSimulation.Load.uneven(scale, 1_500), variation, POOL_COUNT, seed))
			.toList();
	}

	@Nested
	class HealthyEndpoints {

		/**
		 * Guards against moving runs of long tasks, which makes their jobs late: half of
		 * the late jobs, the refusals and the discarded work of the former rule. Guards
		 * also against long jobs on slow endpoints, which end after their callers have
		 * left.
		 */
		@Test
		void keepLongTasks() {
			List<PoolSimulation> simulations = simulations(0.5, RunVariation.LONG_TASKS, 3);
			List<Map<String, PoolSimulation.Result>> results = simulations.stream().map(PoolSimulation::run).toList();
			assertThat(mean(results, "check", PoolSimulation.Result::completedLateShare)).isLessThan(0.0354 / 2);
			assertThat(mean(results, "status", PoolSimulation.Result::completedLateShare)).isLessThan(0.0049 / 2);
			assertThat(mean(results, "confirm", PoolSimulation.Result::onTimeShare)).isGreaterThan(0.80);
			assertThat(mean(results, "confirm", (result) -> result.share(JobOutcome.Kind.REFUSED)))
				.isLessThanOrEqualTo(0.0034);
			assertThat(simulations.stream().mapToDouble(PoolSimulation::wastedShare).average().orElseThrow())
				.isLessThan(0.0981);
		}

		private static double mean(List<Map<String, PoolSimulation.Result>> results, String queue,
				ToDoubleFunction<PoolSimulation.Result> value) {
			return results.stream().mapToDouble((each) -> value.applyAsDouble(each.get(queue))).average().orElseThrow();
		}

	}

	@Nested
	class DisturbedEndpoints {

		/**
		 * Guards against finding slow endpoints later than the former rule, which started
		 * as many runs on them over the same twenty seeds.
		 */
		@ParameterizedTest
		@CsvSource({ "0.16, 5, 7310", "0.16, 7.5, 4617", "0.14, 1000, 2501" })
		void getNoMoreTasksThanBefore(double share, double factor, int maxStartCount) {
			List<PoolSimulation> simulations = simulations(0.62, RunVariation.LONG_TASKS.disturbed(share, factor), 20);
			simulations.forEach(PoolSimulation::run);
			assertThat(simulations.stream().mapToInt(PoolSimulation::disturbedStartCount).sum())
				.isLessThanOrEqualTo(maxStartCount);
		}

	}

}
