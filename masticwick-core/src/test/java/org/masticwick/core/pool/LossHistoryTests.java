package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.process.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LossHistory} and {@link TaskLosses}.
 */
class LossHistoryTests {

	private static final TaskId TASK = new TaskId("job", 0, 0, 3);

	private final LossHistory history = new LossHistory();

	private static EndpointIncarnation endpoint(String id, int port, long startedEpochMillis) {
		return new EndpointIncarnation(id, new HostAddress("10.0.0.1", port), startedEpochMillis);
	}

	private static TaskLoss loss(int number, TaskLoss.State state, boolean attributable) {
		return new TaskLoss(new TaskRun(TASK, number), endpoint("e" + number, number, 100), state, attributable);
	}

	private TaskLosses losses() {
		return this.history.find(TASK).orElseThrow();
	}

	@Nested
	class Merging {

		/**
		 * Hosts learn of losses from several peers, in any order and more than once.
		 */
		@ParameterizedTest
		@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
		void doesNotDependOnTheOrder(long seed) {
			List<TaskLoss> news = new ArrayList<>(
					List.of(loss(1, TaskLoss.State.UNEXPLAINED, true), loss(1, TaskLoss.State.CRASHED, true),
							loss(2, TaskLoss.State.UNEXPLAINED, false), loss(2, TaskLoss.State.CLEARED, false),
							loss(3, TaskLoss.State.UNEXPLAINED, false), loss(3, TaskLoss.State.UNEXPLAINED, false)));
			Collections.shuffle(news, new Random(seed));
			news.forEach((loss) -> LossHistoryTests.this.history.add(loss, 10));
			assertThat(LossHistoryTests.this.history.all()).containsExactlyInAnyOrder(
					loss(1, TaskLoss.State.CRASHED, true), loss(2, TaskLoss.State.CLEARED, false),
					loss(3, TaskLoss.State.UNEXPLAINED, false));
		}

		@Test
		void tellsWhetherAnythingIsNew() {
			assertThat(LossHistoryTests.this.history.add(loss(1, TaskLoss.State.CRASHED, true), 10)).isTrue();
			assertThat(LossHistoryTests.this.history.add(loss(1, TaskLoss.State.UNEXPLAINED, true), 20)).isFalse();
			assertThat(LossHistoryTests.this.history.add(loss(1, TaskLoss.State.CRASHED, true), 30)).isFalse();
		}

	}

	@Nested
	class Explaining {

		@ParameterizedTest
		@CsvSource({ "e1, 1, 100, true, CLEARED", "e1, 1, 100, false, UNEXPLAINED", "e1, 1, 200, false, CRASHED",
				"e1, 7, 200, true, CRASHED", "other, 1, 200, false, CRASHED", "other, 1, 50, true, UNEXPLAINED",
				"other, 7, 200, true, UNEXPLAINED" })
		void followsFromWhatIsSeenOfTheEndpoint(String id, int port, long startedEpochMillis, boolean heard,
				TaskLoss.State state) {
			LossHistoryTests.this.history.add(loss(1, TaskLoss.State.UNEXPLAINED, true), 10);
			List<TaskLoss> explained = LossHistoryTests.this.history.explain(endpoint(id, port, startedEpochMillis),
					heard, 20);
			assertThat(LossHistoryTests.this.history.all()).containsExactly(loss(1, state, true));
			assertThat(explained).hasSize((state == TaskLoss.State.UNEXPLAINED) ? 0 : 1);
			assertThat(LossHistoryTests.this.history.explain(endpoint(id, port, startedEpochMillis), heard, 30))
				.isEmpty();
		}

	}

	@Nested
	class Deciding {

		@ParameterizedTest
		@CsvSource({ "1, 0, 0, START", "0, 1, 0, START", "0, 2, 0, WAIT", "0, 2, 4_000, START", "1, 1, 0, WAIT",
				"2, 0, 0, START", "2, 1, 0, WAIT", "3, 0, 0, START", "4, 0, 0, GIVE_UP", "2, 2, 0, GIVE_UP",
				"0, 4, 9_000, GIVE_UP" })
		void countsCrashesAndUnexplainedLosses(int crashCount, int unexplainedCount, String afterMillis,
				RestartVerdict verdict) {
			IntStream.rangeClosed(1, crashCount)
				.forEach((number) -> LossHistoryTests.this.history.add(loss(number, TaskLoss.State.CRASHED, false), 0));
			IntStream.range(10, 10 + unexplainedCount)
				.forEach((number) -> LossHistoryTests.this.history.add(loss(number, TaskLoss.State.UNEXPLAINED, true),
						0));
			assertThat(losses().verdict(Long.parseLong(afterMillis.replace("_", "")))).isEqualTo(verdict);
		}

		@Test
		void givesUpAfterTwoCrashesIfOneIsAttributable() {
			LossHistoryTests.this.history.add(loss(1, TaskLoss.State.CRASHED, false), 0);
			LossHistoryTests.this.history.add(loss(2, TaskLoss.State.CRASHED, true), 0);
			assertThat(losses().verdict(1)).isEqualTo(RestartVerdict.GIVE_UP);
		}

		@Test
		void doesNotCountLossesThatAreCleared() {
			IntStream.rangeClosed(1, 9)
				.forEach((number) -> LossHistoryTests.this.history.add(loss(number, TaskLoss.State.CLEARED, true), 0));
			assertThat(losses().verdict(1)).isEqualTo(RestartVerdict.START);
			assertThat(losses().isolation()).isEqualTo(Isolation.NONE);
		}

	}

	@Nested
	class Memory {

		private void addTask(int number, long nowMillis) {
			TaskRun run = new TaskRun(new TaskId("job-" + number, 0, 0, 0), 1);
			LossHistoryTests.this.history
				.add(new TaskLoss(run, endpoint("e", 1, 100), TaskLoss.State.UNEXPLAINED, false), nowMillis);
		}

		@Test
		void isBounded() {
			IntStream.range(0, 12_000).forEach((number) -> addTask(number, 0));
			assertThat(LossHistoryTests.this.history.all()).hasSize(10_000);
			assertThat(LossHistoryTests.this.history.explain(endpoint("e", 1, 200), false, 1)).hasSize(10_000);
		}

		@Test
		void forgetsTasksAfterSomeTime() {
			addTask(1, 0);
			addTask(2, 700_000);
			assertThat(LossHistoryTests.this.history.all()).extracting((loss) -> loss.run().task().jobId())
				.containsExactly("job-2");
		}

	}

}
