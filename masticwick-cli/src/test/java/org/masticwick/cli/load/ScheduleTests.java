package org.masticwick.cli.load;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.request.JobRequest;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link Schedule}.
 */
class ScheduleTests {

	private static LoadOptions options(String mix, ArrivalPattern pattern, long seed, double load) {
		return new LoadOptions("test", seed, mix, pattern, 20_000, 0, 0, load, 240, 5_000, 0.1, 0.1, 0, 0, 4);
	}

	private static PlannedJob job(int... runMillis) {
		return new PlannedJob(0, 0, "k", runMillis, runMillis, false, 0, 0, -1);
	}

	@Nested
	class Plan {

		@ParameterizedTest
		@CsvSource({ "guild, 0.3", "guild, 1.2", "cooperativa, 0.8", "single, 0.95", "jobs, 0.8" })
		void reachesTargetLoadWithinRunTimeAndSizeBounds(String mix, double load) {
			Schedule schedule = Schedule.generate(options(mix, ArrivalPattern.STEADY, 3, load));
			assertThat(schedule.workMillis() / (240.0 * 20_000)).isCloseTo(load, within(0.1));
			assertThat(schedule.jobs()).allSatisfy((job) -> {
				assertThat(job.taskCount()).isBetween(1, JobRequest.MAX_TASK_COUNT);
				assertThat(IntStream.of(job.runMillis())).allMatch((millis) -> millis >= 50 && millis <= 6_000);
			});
			assertThat(schedule.jobs())
				.isSortedAccordingTo((left, right) -> Long.compare(left.offsetNanos(), right.offsetNanos()));
		}

		@Test
		void sameSeedGivesSameOffsets() {
			LoadOptions options = options("guild", ArrivalPattern.STEADY, 5, 0.5);
			List<Long> first = offsets(options);
			assertThat(offsets(options)).isEqualTo(first);
			assertThat(offsets(options("guild", ArrivalPattern.STEADY, 6, 0.5))).isNotEqualTo(first);
		}

		private List<Long> offsets(LoadOptions options) {
			return Schedule.generate(options).jobs().stream().map(PlannedJob::offsetNanos).toList();
		}

	}

	@Nested
	class Burst {

		@ParameterizedTest
		@CsvSource({ "0.0, 0.0", "0.1, 0.025", "0.25, 0.25", "0.35, 0.275", "0.9999999, 1.0" })
		void compressesFourTenthsOfArrivalsIntoTenthOfTime(double uniformSample, double runFraction) {
			assertThat(ArrivalPattern.BURST.toRunFraction(uniformSample)).isCloseTo(runFraction, within(0.000001));
		}

	}

	@Nested
	class Ideal {

		@Test
		void isLongestTaskOrWorkDividedBySlots() {
			assertThat(job(100, 300, 200).idealMillis(10)).isEqualTo(300);
			assertThat(job(100, 100, 100, 100).idealMillis(2)).isEqualTo(200);
		}

	}

}
