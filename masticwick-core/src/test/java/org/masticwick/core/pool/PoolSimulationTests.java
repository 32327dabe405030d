package org.masticwick.core.pool;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays the loads of the users' sites against queueing, refusing and placing.
 */
class PoolSimulationTests {

	private static final long SEED = 20_261_204;

	private static double worth(Map<String, PoolSimulation.Result> results) {
		double earned = results.values().stream().mapToDouble(PoolSimulation.Result::earned).sum();
		double owed = results.values().stream().mapToDouble(PoolSimulation.Result::owed).sum();
		return earned / owed;
	}

	/**
	 * The bounds are the floors that the users set for calm, troubled and heavy days.
	 */
	@ParameterizedTest
	@CsvSource({ "0.6, 3, 0.499", "1.0, 3, 0.374", "1.15, 3, 0.314", "0.6, 1, 0.499", "1.0, 1, 0.374",
			"1.15, 1, 0.314" })
	void earnsTheFloorsOfTheUsers(double scale, int poolCount, double floor) {
		System.out.println("seed " + SEED);
		Map<String, PoolSimulation.Result> results = new PoolSimulation(PoolSimulation.Load.mix(scale, 1.6), poolCount,
				SEED)
			.run();
		assertThat(worth(results)).isGreaterThan(floor);
		assertThat(results.values()).allSatisfy((result) -> assertThat(result.inAimShare()).isGreaterThan(floor));
	}

	@Test
	void onePoolServesMoreThanThree() {
		System.out.println("seed " + SEED);
		Map<String, PoolSimulation.Result> one = new PoolSimulation(PoolSimulation.Load.mix(1.15, 1.6), 1, SEED).run();
		Map<String, PoolSimulation.Result> three = new PoolSimulation(PoolSimulation.Load.mix(1.15, 1.6), 3, SEED)
			.run();
		assertThat(worth(one)).isGreaterThan(worth(three));
	}

	@Test
	void answersEveryJobUnderOverload() {
		System.out.println("seed " + SEED);
		Map<String, PoolSimulation.Result> results = new PoolSimulation(PoolSimulation.Load.mix(2, 1.5), 3, SEED).run();
		assertThat(results.values()).allSatisfy((result) -> {
			double answered = result.share(JobOutcome.Kind.COMPLETED) + result.share(JobOutcome.Kind.REFUSED)
					+ result.share(JobOutcome.Kind.FAILED) + result.share(JobOutcome.Kind.UNCERTAIN);
			assertThat(answered).isEqualTo(1);
			assertThat(result.askedCount()).isPositive();
		});
	}

	@Test
	void refusesRatherThanGivesUpWhatHasBegun() {
		System.out.println("seed " + SEED);
		Map<String, PoolSimulation.Result> results = new PoolSimulation(PoolSimulation.Load.mix(1.5, 1.6), 1, SEED)
			.run();
		assertThat(results.values()).allSatisfy((result) -> assertThat(result.share(JobOutcome.Kind.UNCERTAIN))
			.isLessThanOrEqualTo(result.share(JobOutcome.Kind.REFUSED)));
	}

}
