package org.masticwick.fleet.process;

import java.util.List;
import java.util.function.BiFunction;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.assertj.core.api.SoftAssertions;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.pool.TaskId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Searches simulated time for two runs of one task at once on a site with an owner for
 * each failure domain, whose callers send copies of a job to hosts of several domains
 * within milliseconds. A seed determines all faults and their interleaving. The property
 * {@code search.seeds} sets the number of seeds, {@code search.first} the first one.
 */
class ConcurrentRunAtOwnersSearchTests {

	private static final long START_MILLIS = 4_000;

	private static final long CALLS_MILLIS = 20_000;

	/** By then each caller has its answer or has given up, and each host runs again. */
	private static final long END_MILLIS = 40_000;

	private static final int JOB_INTERVAL_MILLIS = 100;

	private static final double EARLY_RESET_SHARE = 0.3;

	static Stream<Long> seeds() {
		long first = Long.getLong("search.first", 1);
		return LongStream.range(first, first + Long.getLong("search.seeds", 2)).boxed();
	}

	/** Copies reached two owners, and each ran one. */
	@ParameterizedTest(name = "seed {0}")
	@MethodSource("seeds")
	void copiesInSeveralDomainsRunOnceAndComplete(long seed) {
		try (VirtualSite site = startSite(seed)) {
			VirtualCallers callers = startCallers(site);
			site.time().run(CALLS_MILLIS);
			callers.end();
			site.time().run(END_MILLIS);
			assertThat(callers.completedCount()).as("completed jobs").isPositive();
			check(seed, site, callers.missingJobIds());
		}
	}

	private static VirtualSite startSite(long seed) {
		VirtualSite site = new VirtualSite(seed, VirtualSite.Size.OWNER_PER_DOMAIN);
		site.time().run(START_MILLIS);
		assertThat(site.domains().stream().map(site::owner).distinct()).as("owners").hasSize(3);
		return site;
	}

	private static VirtualCallers startCallers(VirtualSite site) {
		VirtualCallers callers = new VirtualCallers(site);
		callers.resetEarly(EARLY_RESET_SHARE);
		callers.returnAfterRefusals();
		callers.start(JOB_INTERVAL_MILLIS);
		return callers;
	}

	private static void assertThatNoTaskRunsTwiceAtATime(long seed,
			BiFunction<VirtualSite, VirtualCallers, VirtualFaults> faultsOfSite) {
		try (VirtualSite site = startSite(seed)) {
			VirtualCallers callers = startCallers(site);
			VirtualFaults faults = faultsOfSite.apply(site, callers);
			faults.start();
			site.time().run(CALLS_MILLIS);
			faults.end();
			callers.end();
			site.time().run(END_MILLIS);
			List<String> earlierJobIds = callers.missingJobIds();
			callers.submitAtEachHost();
			site.time().run(END_MILLIS);
			List<String> missingJobIds = callers.missingJobIds()
				.stream()
				.filter((jobId) -> !earlierJobIds.contains(jobId))
				.toList();
			check(seed, site, missingJobIds);
		}
	}

	private static void check(long seed, VirtualSite site, List<String> missingJobIds) {
		List<TaskId> tasks = site.endpoints().concurrentlyRunTasks();
		SoftAssertions.assertSoftly((softly) -> {
			softly.assertThat(tasks)
				.as(() -> "run twice, seed " + seed + "\n" + traces(site, tasks.stream().map(TaskId::jobId)))
				.isEmpty();
			softly.assertThat(missingJobIds)
				.as(() -> "not completed, seed " + seed + "\n" + traces(site, missingJobIds.stream()))
				.isEmpty();
		});
	}

	private static String traces(VirtualSite site, Stream<String> jobIds) {
		return jobIds.distinct()
			.map((jobId) -> jobId + "\n" + site.trace().of(jobId))
			.collect(Collectors.joining("\n\n"));
	}

	@Nested
	class UnderFaults {

		/** Copies reached two owners while owners changed. */
		@ParameterizedTest(name = "seed {0}")
		@MethodSource("org.masticwick.fleet.process.ConcurrentRunAtOwnersSearchTests#seeds")
		void copiesRunOnceWhileHostsAreKilledPausedOrStopped(long seed) {
			assertThatNoTaskRunsTwiceAtATime(seed,
					(site, callers) -> new VirtualFaults(site, callers, VirtualFaults.Kinds.PROCESSES));
		}

		/** Copies reached two owners that didn't reach each other. */
		@ParameterizedTest(name = "seed {0}")
		@MethodSource("org.masticwick.fleet.process.ConcurrentRunAtOwnersSearchTests#seeds")
		void copiesRunOnceWhileHostsAreKilledPausedStoppedOrCutOff(long seed) {
			assertThatNoTaskRunsTwiceAtATime(seed,
					(site, callers) -> new VirtualFaults(site, callers, VirtualFaults.Kinds.PROCESSES_AND_DOMAINS));
		}

		/** The same beside lost calls, restarted endpoints and a silent log. */
		@ParameterizedTest(name = "seed {0}")
		@MethodSource("org.masticwick.fleet.process.ConcurrentRunAtOwnersSearchTests#seeds")
		void copiesRunOnceWhateverFails(long seed) {
			assertThatNoTaskRunsTwiceAtATime(seed, VirtualFaults::new);
		}

	}

	@Nested
	class SeedsThatFailed {

		/** A caller reaches both sides of a cut, and the owner on each runs a copy. */
		@ParameterizedTest(name = "seed {0}")
		@ValueSource(longs = { 3, 5, 6, 7, 14, 32, 75 })
		void copiesRunOnceOnBothSidesOfACut(long seed) {
			assertThatNoTaskRunsTwiceAtATime(seed,
					(site, callers) -> new VirtualFaults(site, callers, VirtualFaults.Kinds.PROCESSES_AND_DOMAINS));
		}

		/**
		 * A job runs on at an owner that was paused, or at its heir, and elsewhere.
		 */
		@ParameterizedTest(name = "seed {0}")
		@ValueSource(longs = { 100, 380 })
		void copiesRunOnceAfterTheirOwnerWasPaused(long seed) {
			assertThatNoTaskRunsTwiceAtATime(seed,
					(site, callers) -> new VirtualFaults(site, callers, VirtualFaults.Kinds.PROCESSES));
		}

	}

}
