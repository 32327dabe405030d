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
 * Tests for {@link Scheduler} where several of them share endpoints over time.
 */
class DispatchOverTimeTests {

	private static final long MILLI = VirtualDomain.MILLI;

	private static final long SEED = 42;

	private static VirtualDomain domain(Map<String, String> rules) {
		return new VirtualDomain(3, 10, 8, rules, SEED);
	}

	@Nested
	class Healthy {

		@ParameterizedTest
		@ValueSource(strings = { "random", "round-robin", "least-of-two", "least-of-two-peers", "slot-share", "owner" })
		void finishesEveryJobOnceWithAnyPlacement(String placement) {
			VirtualDomain domain = domain(Map.of("dispatch/placement", placement));
			domain.arrivals(0.5, 5_000 * MILLI);
			domain.run(120_000 * MILLI);
			assertThat(domain.finishedJobCount).isPositive();
			assertThat(domain.failedJobCount + domain.rejectedCount).isZero();
			assertThat(domain.repeatedStartCount).isZero();
		}

		@ParameterizedTest
		@CsvSource({ "response-time, 0.04, 2", "messages, 0.02, 2" })
		void keepsWithinItsWeighting(String weighting, double maxRefusedRatio, double maxTailRatio) {
			VirtualDomain domain = domain(Map.of("dispatch/weighting", weighting));
			domain.arrivals(0.8, 30_000 * MILLI);
			domain.run(120_000 * MILLI);
			double startCount = domain.startedTasks.size();
			assertThat(domain.refusedCount / startCount).isLessThan(maxRefusedRatio);
			assertThat(VirtualDomain.quantile(domain.singleRatios, 0.5)).isLessThan(1.05);
			assertThat(VirtualDomain.quantile(domain.singleRatios, 0.99)).isLessThan(maxTailRatio);
		}

	}

	@Nested
	class SmallBesideLarge {

		private final VirtualDomain domain = new VirtualDomain(1, 2, 10, Map.of(), SEED);

		@BeforeEach
		void submitLarge() {
			long[] runNanos = IntStream.range(0, 24).mapToLong((index) -> 2_000 * MILLI).toArray();
			this.domain.submit(0, "team", false, 600_000 * MILLI, runNanos);
			this.domain.run(10 * MILLI);
		}

		@Test
		void findsFreeSlotForSmallJob() {
			assertThat(this.domain.startedTasks.size()).isBetween(17, 19);
			this.domain.submit(0, "team", false, 600_000 * MILLI, 50 * MILLI);
			this.domain.run(100 * MILLI);
			assertThat(this.domain.singleRatios).singleElement()
				.satisfies((ratio) -> assertThat(ratio).isLessThan(1.1));
		}

		@Test
		void letsLargeJobTakeAllSlotsWhenNothingSmallComes() {
			this.domain.run(1_000 * MILLI);
			assertThat(this.domain.startedTasks).hasSize(20);
		}

		@Test
		void findsSlotsForLargeJobAmongFewSlots() {
			VirtualDomain small = new VirtualDomain(1, 1, 2, Map.of(), SEED);
			small.submit(0, "team", false, 600_000 * MILLI, 100 * MILLI, 100 * MILLI, 100 * MILLI);
			small.run(10 * MILLI);
			assertThat(small.startedTasks).hasSize(2);
		}

	}

	@Nested
	class Faulty {

		@Test
		void harmsFewJobsOnceAnEndpointFailsEverything() {
			VirtualDomain domain = domain(Map.of());
			domain.endpoints.values().iterator().next().failing = true;
			domain.arrivals(0.6, 30_000 * MILLI);
			domain.run(2_000 * MILLI);
			int earlyCount = domain.failedJobCount;
			domain.run(120_000 * MILLI);
			assertThat(domain.failedJobCount - earlyCount).isLessThan(domain.finishedJobCount / 100);
		}

		@Test
		void takesWorkAwayFromSlowEndpoint() {
			VirtualDomain domain = domain(Map.of());
			FakeEndpoint slow = domain.endpoints.values().iterator().next();
			domain.arrivals(0.6, 30_000 * MILLI);
			domain.run(5_000 * MILLI);
			slow.slowness = 10;
			domain.run(15_000 * MILLI);
			int slowStartCount = slow.startCount;
			domain.run(30_000 * MILLI);
			assertThat(slow.startCount - slowStartCount).isLessThan(30);
		}

		@Test
		void leavesLeavingEndpointAloneAfterFewRefusals() {
			VirtualDomain domain = domain(Map.of());
			domain.arrivals(0.6, 8_000 * MILLI);
			domain.run(4_000 * MILLI);
			FakeEndpoint leaving = domain.endpoints.values().iterator().next();
			leaving.leaving = true;
			int startCount = leaving.startCount;
			domain.run(120_000 * MILLI);
			assertThat(leaving.startCount).isEqualTo(startCount);
			assertThat(domain.failedJobCount).isZero();
		}

	}

	@Nested
	class Sharing {

		@ParameterizedTest
		@CsvSource({ "1, 1, 1", "3, 1, 1", "6, 2, 3" })
		void dividesSlotsByShareAcrossHosts(int share, int otherShare, int hostCount) {
			VirtualDomain domain = new VirtualDomain(hostCount, 4, 8,
					Map.of("team-share/a", "" + share, "team-share/b", "" + otherShare), SEED);
			long[] runNanos = IntStream.range(0, 500).mapToLong((index) -> 100 * MILLI).toArray();
			IntStream.range(0, hostCount).forEach((host) -> Arrays.asList("a", "b").forEach((team) -> {
				for (int job = 0; job < 2; job++) {
					domain.submit(host, team, false, 600_000 * MILLI, runNanos);
				}
			}));
			domain.run(1_500 * MILLI);
			double countOfA = domain.startsByTeam.get("a");
			double countOfB = domain.startsByTeam.get("b");
			assertThat(countOfA / (countOfA + countOfB)).isCloseTo(share / (double) (share + otherShare), within(0.1));
		}

		@Test
		void lendsUnusedShares() {
			VirtualDomain domain = new VirtualDomain(1, 4, 8, Map.of("team-share/a", "1", "team-share/b", "99"), SEED);
			domain.submit(0, "a", false, 60_000 * MILLI,
					IntStream.range(0, 256).mapToLong((i) -> 100 * MILLI).toArray());
			domain.run(50 * MILLI);
			assertThat(domain.startsByTeam).containsEntry("a", 32);
		}

		@Test
		void letsLongJobThroughWhileShortOnesKeepComing() {
			VirtualDomain domain = new VirtualDomain(1, 1, 2, Map.of(), SEED);
			domain.submit(0, "a", false, 120_000 * MILLI,
					IntStream.range(0, 60).mapToLong((i) -> 100 * MILLI).toArray());
			IntStream.range(0, 1_200)
				.forEach((index) -> domain.at(index * 50 * MILLI,
						() -> domain.submit(0, "a", false, 120_000 * MILLI, 100 * MILLI)));
			domain.run(40_000 * MILLI);
			assertThat(domain.jobRatios).hasSize(1);
		}

	}

}
