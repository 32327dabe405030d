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
 * Tests for {@link RunTimes} and {@link RetryBudget}.
 */
class LearningTests {

	private static final long MILLI = 1_000_000L;

	@Nested
	class RunTimeLearning {

		@ParameterizedTest
		@CsvSource({ "0, 200", "300, 300", "1, 50", "3600000, 800" })
		void clampsDeclaredTimesBeforeAnythingIsLearnt(long declaredMillis, double expectedMillis) {
			RunTimes runTimes = new RunTimes(200 * MILLI);
			assertThat(runTimes.expectedNanos(task("width", declaredMillis))).isEqualTo(expectedMillis * MILLI);
		}

		@Test
		void learnsByKindAndFallsBackToTheService() {
			RunTimes runTimes = new RunTimes(200 * MILLI);
			runTimes.add("width", 50 * MILLI);
			runTimes.add("size", 150 * MILLI);
			assertThat(runTimes.expectedNanos(task("width", 9_000))).isEqualTo(50 * MILLI);
			assertThat(runTimes.expectedNanos(task("other", 9_000))).isEqualTo(100 * MILLI);
		}

		@Test
		void findsTail() {
			RunTimeEstimate estimate = new RunTimeEstimate();
			Random random = new Random(5);
			IntStream.range(0, 5_000).forEach((index) -> estimate.add((long) (random.nextDouble() * 1_000 * MILLI)));
			assertThat(estimate.meanNanos()).isCloseTo(500 * MILLI, within(150.0 * MILLI));
			assertThat(estimate.tailNanos()).isBetween(850.0 * MILLI, 1_200.0 * MILLI);
		}

		private TaskSpec task(String kind, long declaredMillis) {
			return new TaskSpec(kind, "", declaredMillis, 0, 0);
		}

	}

	@Nested
	class Budget {

		@Test
		void allowsBurstThenARatioOfStarts() {
			RetryBudget budget = new RetryBudget(0.25, 2, 0);
			IntStream.range(0, 2).forEach((index) -> {
				assertThat(budget.allows(0)).isTrue();
				budget.retried();
			});
			assertThat(budget.allows(0)).isFalse();
			IntStream.range(0, 4).forEach((index) -> budget.started());
			assertThat(budget.allows(0)).isTrue();
			assertThat(budget.level()).isEqualTo(0.5);
		}

		@ParameterizedTest
		@CsvSource({ "900, false", "1000, false", "1100, true" })
		void recoversOnceNothingIsRefusedForASecond(long quietMillis, boolean allowed) {
			RetryBudget budget = new RetryBudget(0.25, 1, 0);
			budget.retried();
			budget.refused(0);
			assertThat(budget.allows(quietMillis * MILLI)).isEqualTo(allowed);
		}

	}

}
