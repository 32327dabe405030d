package org.masticwick.core.request.internal;

import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.request.TaskSpec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link RunTimeEstimates} and {@link RetryBudget}.
 */
class RunTimeAndRetryBudgetTests {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	@Nested
	class RunTime {

		@ParameterizedTest
		@CsvSource({ "0, 200", "300, 300", "1, 50", "3600000, 800" })
		void limitsDeclaredTimesWithoutSamples(long declaredMillis, double expectedMillis) {
			RunTimeEstimates runTimes = new RunTimeEstimates(200 * NANOS_PER_MILLI);
			assertThat(runTimes.expectedNanos(task("width", declaredMillis)))
				.isEqualTo(expectedMillis * NANOS_PER_MILLI);
		}

		@Test
		void estimatesByKindAndFallsBackToService() {
			RunTimeEstimates runTimes = new RunTimeEstimates(200 * NANOS_PER_MILLI);
			runTimes.addSample("width", 50 * NANOS_PER_MILLI);
			runTimes.addSample("size", 150 * NANOS_PER_MILLI);
			assertThat(runTimes.expectedNanos(task("width", 9_000))).isEqualTo(50 * NANOS_PER_MILLI);
			assertThat(runTimes.expectedNanos(task("other", 9_000))).isEqualTo(100 * NANOS_PER_MILLI);
		}

		@Test
		void estimatesTail() {
			RunTimeEstimate estimate = new RunTimeEstimate();
			Random random = new Random(5);
			IntStream.range(0, 5_000)
				.forEach((index) -> estimate.addSample((long) (random.nextDouble() * 1_000 * NANOS_PER_MILLI)));
			assertThat(estimate.meanNanos()).isCloseTo(500 * NANOS_PER_MILLI, within(150.0 * NANOS_PER_MILLI));
			assertThat(estimate.tailNanos()).isBetween(850.0 * NANOS_PER_MILLI, 1_200.0 * NANOS_PER_MILLI);
		}

		private TaskSpec task(String kind, long declaredMillis) {
			return new TaskSpec(kind, "", declaredMillis, 0, 0);
		}

	}

	@Nested
	class Budget {

		@Test
		void allowsBurstThenFractionOfStarts() {
			RetryBudget budget = new RetryBudget(0.25, 2, 0);
			IntStream.range(0, 2).forEach((index) -> {
				assertThat(budget.refillAndCheck(0)).isTrue();
				budget.recordRetry();
			});
			assertThat(budget.refillAndCheck(0)).isFalse();
			IntStream.range(0, 4).forEach((index) -> budget.recordFirstStart());
			assertThat(budget.refillAndCheck(0)).isTrue();
			assertThat(budget.remainingFraction()).isEqualTo(0.5);
		}

		@ParameterizedTest
		@CsvSource({ "900, false", "1000, false", "1100, true" })
		void refillsAfterOneSecondWithoutRefusals(long quietMillis, boolean allowed) {
			RetryBudget budget = new RetryBudget(0.25, 1, 0);
			budget.recordRetry();
			budget.recordRefusal(0);
			assertThat(budget.refillAndCheck(quietMillis * NANOS_PER_MILLI)).isEqualTo(allowed);
		}

	}

}
