package org.masticwick.fleet.process;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.pool.TaskId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Searches simulated time for two runs of one task at once on a site with one owner. A
 * seed determines all faults and their interleaving. The property {@code search.seeds}
 * sets the number of seeds, {@code search.first} the first one.
 */
class ConcurrentRunSearchTests {

	private static final long START_MILLIS = 4_000;

	private static final long FAULTS_MILLIS = 26_000;

	private static final long END_MILLIS = 15_000;

	private static final int JOB_INTERVAL_MILLIS = 60;

	static Stream<Long> seeds() {
		long first = Long.getLong("search.first", 1);
		return LongStream.range(first, first + Long.getLong("search.seeds", 8)).boxed();
	}

	@ParameterizedTest(name = "seed {0}")
	@MethodSource("seeds")
	void noTaskRunsTwiceAtATime(long seed) {
		assertThatNoTaskRunsTwiceAtATime(seed);
	}

	private static void assertThatNoTaskRunsTwiceAtATime(long seed) {
		try (VirtualSite site = new VirtualSite(seed)) {
			VirtualCallers callers = new VirtualCallers(site);
			VirtualFaults faults = new VirtualFaults(site, callers);
			site.time().run(START_MILLIS);
			callers.start(JOB_INTERVAL_MILLIS);
			faults.start();
			site.time().run(FAULTS_MILLIS);
			faults.end();
			callers.end();
			site.time().run(END_MILLIS);
			List<TaskId> tasks = site.endpoints().concurrentlyRunTasks();
			assertThat(tasks).as(() -> "seed " + seed + "\n" + traces(site, tasks)).isEmpty();
			assertThat(callers.completedCount()).as("completed jobs").isPositive();
		}
	}

	private static String traces(VirtualSite site, List<TaskId> tasks) {
		return tasks.stream()
			.map(TaskId::jobId)
			.distinct()
			.map((jobId) -> jobId + "\n" + site.trace().of(jobId))
			.collect(Collectors.joining("\n\n"));
	}

	@Nested
	class SeedsThatFailed {

		/** A new owner keeps unknown runs until it has read the durable jobs. */
		@ParameterizedTest(name = "seed {0}")
		@ValueSource(longs = { 2216, 10152, 10213 })
		void noTaskRunsTwiceWhileDurableJobsAreRead(long seed) {
			assertThatNoTaskRunsTwiceAtATime(seed);
		}

		/**
		 * A new owner starts a copy before the endpoint of the first one has reported.
		 */
		@ParameterizedTest(name = "seed {0}")
		@ValueSource(longs = { 10179, 11178 })
		void noTaskRunsTwiceAsACopyMeetsANewOwner(long seed) {
			assertThatNoTaskRunsTwiceAtATime(seed);
		}

		/** An endpoint executes a start whose run counts as ended. */
		@ParameterizedTest(name = "seed {0}")
		@ValueSource(longs = { 10068, 11240 })
		void noTaskRunsTwiceAfterALateStart(long seed) {
			assertThatNoTaskRunsTwiceAtATime(seed);
		}

		/**
		 * Copies meet two hosts of which each takes itself for the owner, or a run that
		 * its owner can't stop.
		 */
		@ParameterizedTest(name = "seed {0}")
		@ValueSource(longs = { 10081, 10193, 10234 })
		void noTaskRunsTwiceWhileOwnersChange(long seed) {
			assertThatNoTaskRunsTwiceAtATime(seed);
		}

		/** Two owners get copies that reach hosts of two failure domains. */
		@ParameterizedTest(name = "seed {0}")
		@ValueSource(longs = 10096)
		void noTaskRunsTwiceAsCopiesReachTwoDomains(long seed) {
			assertThatNoTaskRunsTwiceAtATime(seed);
		}

	}

}
