package org.masticwick.core.request;

import java.util.Arrays;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for several {@link Scheduler schedulers} that share endpoints over simulated
 * time.
 */
class DispatchOverTimeTests {

	private static final long NANOS_PER_MILLI = VirtualDomain.NANOS_PER_MILLI;

	private static final long SEED = 42;

	private static VirtualDomain domain(Map<String, String> rules) {
		return new VirtualDomain(3, 10, 8, rules, SEED);
	}

	@Nested
	class Healthy {

		@ParameterizedTest
		@ValueSource(strings = { "random", "round-robin", "least-of-two", "least-of-two-peers", "slot-share", "owner" })
		void completesEveryJobOnceWithAnyPlacement(String placement) {
			VirtualDomain domain = domain(Map.of("dispatch/placement", placement));
			domain.scheduleArrivals(0.5, 5_000 * NANOS_PER_MILLI);
			domain.run(120_000 * NANOS_PER_MILLI);
			assertThat(domain.finishedJobCount).isPositive();
			assertThat(domain.failedJobCount + domain.rejectedCount).isZero();
			assertThat(domain.repeatedStartCount).isZero();
		}

		@ParameterizedTest
		@CsvSource({ "response-time, 0.04, 2", "messages, 0.02, 2" })
		void meetsLimitsOfWeighting(String weighting, double maxRefusedRatio, double maxTailRatio) {
			VirtualDomain domain = domain(Map.of("dispatch/weighting", weighting));
			domain.scheduleArrivals(0.8, 30_000 * NANOS_PER_MILLI);
			domain.run(120_000 * NANOS_PER_MILLI);
			double startCount = domain.startedTasks.size();
			assertThat(domain.refusedCount / startCount).isLessThan(maxRefusedRatio);
			assertThat(VirtualDomain.quantile(domain.singleTaskResponseRatios, 0.5)).isLessThan(1.05);
			assertThat(VirtualDomain.quantile(domain.singleTaskResponseRatios, 0.99)).isLessThan(maxTailRatio);
		}

	}

	@Nested
	class SmallAndLargeJobs {

		private final VirtualDomain domain = new VirtualDomain(1, 2, 10, Map.of(), SEED);

		@BeforeEach
		void submitLargeJob() {
			long[] runNanos = IntStream.range(0, 24).mapToLong((index) -> 2_000 * NANOS_PER_MILLI).toArray();
			this.domain.submit(0, "team", false, 600_000 * NANOS_PER_MILLI, runNanos);
			this.domain.run(10 * NANOS_PER_MILLI);
		}

		@Test
		void keepsFreeSlotForSmallJob() {
			assertThat(this.domain.startedTasks.size()).isBetween(17, 19);
			this.domain.submit(0, "team", false, 600_000 * NANOS_PER_MILLI, 50 * NANOS_PER_MILLI);
			this.domain.run(100 * NANOS_PER_MILLI);
			assertThat(this.domain.singleTaskResponseRatios).singleElement()
				.satisfies((ratio) -> assertThat(ratio).isLessThan(1.1));
		}

		@Test
		void givesLargeJobAllSlotsWithoutSmallJobs() {
			this.domain.run(1_000 * NANOS_PER_MILLI);
			assertThat(this.domain.startedTasks).hasSize(20);
		}

		@Test
		void reservesNothingAmongFewSlots() {
			VirtualDomain small = new VirtualDomain(1, 1, 2, Map.of(), SEED);
			small.submit(0, "team", false, 600_000 * NANOS_PER_MILLI, 100 * NANOS_PER_MILLI, 100 * NANOS_PER_MILLI,
					100 * NANOS_PER_MILLI);
			small.run(10 * NANOS_PER_MILLI);
			assertThat(small.startedTasks).hasSize(2);
		}

	}

	@Nested
	class Faulty {

		@Test
		void failsFewJobsOnceFailingEndpointIsEjected() {
			VirtualDomain domain = domain(Map.of());
			domain.endpoints.values().iterator().next().failing = true;
			domain.scheduleArrivals(0.6, 30_000 * NANOS_PER_MILLI);
			domain.run(2_000 * NANOS_PER_MILLI);
			int failedJobCountBeforeEjection = domain.failedJobCount;
			domain.run(120_000 * NANOS_PER_MILLI);
			assertThat(domain.failedJobCount - failedJobCountBeforeEjection).isLessThan(domain.finishedJobCount / 100);
		}

		@Test
		void startsFewTasksOnSlowEndpoint() {
			VirtualDomain domain = domain(Map.of());
			FakeEndpoint slow = domain.endpoints.values().iterator().next();
			domain.scheduleArrivals(0.6, 30_000 * NANOS_PER_MILLI);
			domain.run(5_000 * NANOS_PER_MILLI);
			slow.slowdownFactor = 10;
			domain.run(15_000 * NANOS_PER_MILLI);
			int slowStartCount = slow.startedTaskCount;
			domain.run(30_000 * NANOS_PER_MILLI);
			assertThat(slow.startedTaskCount - slowStartCount).isLessThan(30);
		}

		@Test
		void startsNothingOnLeavingEndpoint() {
			VirtualDomain domain = domain(Map.of());
			domain.scheduleArrivals(0.6, 8_000 * NANOS_PER_MILLI);
			domain.run(4_000 * NANOS_PER_MILLI);
			FakeEndpoint leaving = domain.endpoints.values().iterator().next();
			leaving.leaving = true;
			int startCount = leaving.startedTaskCount;
			domain.run(120_000 * NANOS_PER_MILLI);
			assertThat(leaving.startedTaskCount).isEqualTo(startCount);
			assertThat(domain.failedJobCount).isZero();
		}

	}

	@Nested
	class Sharing {

		@ParameterizedTest
		@CsvSource({ "1, 1, 1", "3, 1, 1", "6, 2, 3" })
		void allocatesSlotsByShareAcrossHosts(int share, int otherShare, int hostCount) {
			VirtualDomain domain = new VirtualDomain(hostCount, 4, 8,
					Map.of("team-share/a", "" + share, "team-share/b", "" + otherShare), SEED);
			long[] runNanos = IntStream.range(0, 500).mapToLong((index) -> 100 * NANOS_PER_MILLI).toArray();
			IntStream.range(0, hostCount).forEach((host) -> Arrays.asList("a", "b").forEach((team) -> {
				for (int job = 0; job < 2; job++) {
					domain.submit(host, team, false, 600_000 * NANOS_PER_MILLI, runNanos);
				}
			}));
			domain.run(1_500 * NANOS_PER_MILLI);
			double countOfA = domain.startCountsByTeam.get("a");
			double countOfB = domain.startCountsByTeam.get("b");
			assertThat(countOfA / (countOfA + countOfB)).isCloseTo(share / (double) (share + otherShare), within(0.1));
		}

		@Test
		void givesUnusedSharesToOtherTeams() {
			VirtualDomain domain = new VirtualDomain(1, 4, 8, Map.of("team-share/a", "1", "team-share/b", "99"), SEED);
			domain.submit(0, "a", false, 60_000 * NANOS_PER_MILLI,
					IntStream.range(0, 256).mapToLong((i) -> 100 * NANOS_PER_MILLI).toArray());
			domain.run(50 * NANOS_PER_MILLI);
			assertThat(domain.startCountsByTeam).containsEntry("a", 32);
		}

		@Test
		void doesNotStarveLongJobBehindShortOnes() {
			VirtualDomain domain = new VirtualDomain(1, 1, 2, Map.of(), SEED);
			domain.submit(0, "a", false, 120_000 * NANOS_PER_MILLI,
					IntStream.range(0, 60).mapToLong((i) -> 100 * NANOS_PER_MILLI).toArray());
			IntStream.range(0, 1_200)
				.forEach((index) -> domain.scheduleAt(index * 50 * NANOS_PER_MILLI,
						() -> domain.submit(0, "a", false, 120_000 * NANOS_PER_MILLI, 100 * NANOS_PER_MILLI)));
			domain.run(40_000 * NANOS_PER_MILLI);
			assertThat(domain.multiTaskResponseRatios).hasSize(1);
		}

	}

}
