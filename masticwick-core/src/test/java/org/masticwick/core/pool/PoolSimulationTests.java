package org.masticwick.core.pool;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates the loads of the users' sites and checks admission, queueing and placement.
 */
class PoolSimulationTests {

	private static final long SEED = 20_261_204;

	private static double earnedShare(Map<String, PoolSimulation.Result> results) {
		double earned = results.values().stream().mapToDouble(PoolSimulation.Result::earnedValue).sum();
		double offered = results.values().stream().mapToDouble(PoolSimulation.Result::offeredValue).sum();
		return earned / offered;
	}

	/**
	 * The minimum shares are those that the users require for calm, troubled and heavy
	 * days.
	 */
	@ParameterizedTest
	@CsvSource({ "0.6, 3, 0.499", "1.0, 3, 0.374", "1.15, 3, 0.314", "0.6, 1, 0.499", "1.0, 1, 0.374",
			"1.15, 1, 0.314" })
	void meetsTheMinimumValueShares(double scale, int poolCount, double minimumShare) {
		System.out.println("seed " + SEED);
		Map<String, PoolSimulation.Result> results = new PoolSimulation(PoolSimulation.Load.mix(scale, 1.6), poolCount,
				SEED)
			.run();
		assertThat(earnedShare(results)).isGreaterThan(minimumShare);
		assertThat(results.values())
			.allSatisfy((result) -> assertThat(result.onTimeShare()).isGreaterThan(minimumShare));
	}

	@Test
	void onePoolEarnsMoreThanThree() {
		System.out.println("seed " + SEED);
		Map<String, PoolSimulation.Result> one = new PoolSimulation(PoolSimulation.Load.mix(1.15, 1.6), 1, SEED).run();
		Map<String, PoolSimulation.Result> three = new PoolSimulation(PoolSimulation.Load.mix(1.15, 1.6), 3, SEED)
			.run();
		assertThat(earnedShare(one)).isGreaterThan(earnedShare(three));
	}

	@Test
	void answersEveryJobUnderOverload() {
		System.out.println("seed " + SEED);
		Map<String, PoolSimulation.Result> results = new PoolSimulation(PoolSimulation.Load.mix(2, 1.5), 3, SEED).run();
		assertThat(results.values()).allSatisfy((result) -> {
			double answered = result.share(JobOutcome.Kind.COMPLETED) + result.share(JobOutcome.Kind.REFUSED)
					+ result.share(JobOutcome.Kind.FAILED) + result.share(JobOutcome.Kind.UNCERTAIN);
			assertThat(answered).isEqualTo(1);
			assertThat(result.submittedCount()).isPositive();
		});
	}

	@Test
	void refusesMoreJobsThanItAbandonsAfterStart() {
		System.out.println("seed " + SEED);
		Map<String, PoolSimulation.Result> results = new PoolSimulation(PoolSimulation.Load.mix(1.5, 1.6), 1, SEED)
			.run();
		assertThat(results.values()).allSatisfy((result) -> assertThat(result.share(JobOutcome.Kind.UNCERTAIN))
			.isLessThanOrEqualTo(result.share(JobOutcome.Kind.REFUSED)));
	}

}
