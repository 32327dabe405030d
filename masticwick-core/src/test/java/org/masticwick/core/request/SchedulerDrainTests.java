package org.masticwick.core.request;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.version.EndpointSpec;
import org.masticwick.core.version.Rules;
import org.masticwick.core.version.SiteVersion;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for drained failure domains in {@link Scheduler}.
 */
class SchedulerDrainTests {

	private static final EndpointSpec LOCAL = Fixtures.endpoint(1, Fixtures.DOMAIN, 8);

	private static final EndpointSpec REMOTE = Fixtures.endpoint(2, Fixtures.OTHER_DOMAIN, 8);

	private static final EndpointSpec LARGE_REMOTE = new EndpointSpec(Fixtures.address(3), Fixtures.OTHER_DOMAIN, "r1",
			Fixtures.SERVICE, 8, 64, 32, 4_000, 1);

	private static SiteVersion version(long number, String drainedDomains, EndpointSpec... endpoints) {
		return Fixtures.version(number,
				drainedDomains.isEmpty() ? Map.of() : Map.of(Rules.DRAINED_DOMAINS, drainedDomains), endpoints);
	}

	private static Scheduler scheduler(String drainedDomains, EndpointSpec... endpoints) {
		return Fixtures.scheduler(SchedulerSettings.defaults(), version(1, drainedDomains, endpoints));
	}

	private static JobSubmission largeJob(String ticket, int taskCount) {
		JobRequest request = new JobRequest(Fixtures.SERVICE, "team", false, false, 1,
				Collections.nCopies(taskCount, Fixtures.task("width", 2_000, 0)));
		return new JobSubmission(ticket, request, Fixtures.FAR_DEADLINE_NANOS);
	}

	private static Set<HostAddress> startedOn(List<StartCommand> starts) {
		return starts.stream().map((start) -> start.endpoint().address()).collect(Collectors.toSet());
	}

	/**
	 * Runs passes until the queue has been idle for long enough that reserves for peers
	 * and small jobs have expired.
	 */
	private static List<StartCommand> startsWithinTwoSeconds(Scheduler scheduler, long fromMillis) {
		return LongStream.rangeClosed(0, 100)
			.mapToObj((pass) -> scheduler.schedule((fromMillis + 20 * pass) * Fixtures.NANOS_PER_MILLI).starts())
			.flatMap(List::stream)
			.toList();
	}

	@Test
	void snapshotListsDrainedDomainsAndEndpoints() {
		Scheduler scheduler = scheduler("launceston,elsewhere", LOCAL, REMOTE);
		SchedulerSnapshot snapshot = scheduler.snapshot(0);
		assertThat(snapshot.drainedDomains()).containsExactly("elsewhere", "launceston");
		assertThat(snapshot.endpoints()).extracting(SchedulerSnapshot.Endpoint::drained).containsExactly(false, true);
	}

	/**
	 * Guards against starts in a drained domain under any order of drains, returns,
	 * submissions and outcomes.
	 */
	@Test
	void neverStartsInDrainedDomainInRandomSequences() {
		for (int seed = 0; seed < 50; seed++) {
			Random random = new Random(seed);
			Scheduler scheduler = scheduler("", LOCAL, REMOTE, LARGE_REMOTE);
			Set<String> drained = new HashSet<>();
			List<StartCommand> running = new ArrayList<>();
			for (int step = 1; step < 300; step++) {
				long nowNanos = step * 10L * Fixtures.NANOS_PER_MILLI;
				switch (random.nextInt(4)) {
					case 0 -> {
						String domain = random.nextBoolean() ? Fixtures.DOMAIN : Fixtures.OTHER_DOMAIN;
						if (!drained.remove(domain)) {
							drained.add(domain);
						}
						scheduler.updateVersion(
								version(1 + step, String.join(",", drained), LOCAL, REMOTE, LARGE_REMOTE), nowNanos);
					}
					case 1 -> scheduler.admit(random.nextBoolean() ? largeJob("t" + step, 1 + random.nextInt(9))
							: Fixtures.submission("t" + step, 1 + random.nextInt(9)), nowNanos);
					default -> {
						StartOutcome.Kind[] kinds = { StartOutcome.Kind.SUCCEEDED, StartOutcome.Kind.SUCCEEDED,
								StartOutcome.Kind.REFUSED_FULL, StartOutcome.Kind.NOT_CONNECTED };
						Collections.shuffle(running, random);
						List<StartCommand> ended = List.copyOf(running.subList(0, running.size() / 2));
						ended.forEach((start) -> scheduler.recordOutcome(start.task(),
								Fixtures.outcome(start, kinds[random.nextInt(kinds.length)]), nowNanos));
						running.removeAll(ended);
					}
				}
				List<StartCommand> starts = scheduler.schedule(nowNanos).starts();
				assertThat(starts).as("seed %d, step %d", seed, step)
					.allSatisfy((start) -> assertThat(drained).doesNotContain(start.endpoint().domain()));
				running.addAll(starts);
			}
		}
	}

	@Nested
	class Placement {

		@ParameterizedTest
		@ValueSource(strings = { "random", "round-robin", "least-of-two", "least-of-two-peers", "slot-share", "owner" })
		void startsNothingInDrainedOwnDomain(String placement) {
			Scheduler scheduler = Fixtures.scheduler(SchedulerSettings.defaults(), Fixtures.version(1,
					Map.of(Rules.PLACEMENT, placement, Rules.DRAINED_DOMAINS, Fixtures.DOMAIN), LOCAL, REMOTE));
			scheduler.admit(Fixtures.submission("t", 20), 0);
			assertThat(startedOn(startsWithinTwoSeconds(scheduler, 0))).containsExactly(REMOTE.address());
		}

		@Test
		void startsNothingInDrainedOtherDomain() {
			Scheduler scheduler = scheduler(Fixtures.OTHER_DOMAIN, LOCAL, REMOTE);
			scheduler.admit(Fixtures.submission("t", 40), 0);
			assertThat(startedOn(startsWithinTwoSeconds(scheduler, 0))).containsExactly(LOCAL.address());
		}

		@Test
		void doesNotProbeEjectedEndpointOfDrainedDomain() {
			EndpointSpec second = Fixtures.endpoint(4, Fixtures.DOMAIN, 8);
			EndpointSpec third = Fixtures.endpoint(5, Fixtures.DOMAIN, 8);
			Scheduler scheduler = scheduler("", LOCAL, second, third, REMOTE);
			for (int i = 0; i < 200; i++) {
				long nowNanos = 50 * i * Fixtures.NANOS_PER_MILLI;
				scheduler.admit(Fixtures.submission("t" + i, 20), nowNanos);
				scheduler.schedule(nowNanos)
					.starts()
					.forEach(
							(start) -> scheduler.recordOutcome(start.task(),
									Fixtures.outcome(start, start.endpoint().equals(second)
											? StartOutcome.Kind.NOT_CONNECTED : StartOutcome.Kind.SUCCEEDED),
									nowNanos));
			}
			assertThat(scheduler.snapshot(0).endpoints()).filteredOn(SchedulerSnapshot.Endpoint::ejected)
				.extracting(SchedulerSnapshot.Endpoint::address)
				.containsExactly(second.address());
			scheduler.updateVersion(version(2, Fixtures.DOMAIN, LOCAL, second, third, REMOTE), 0);
			scheduler.admit(Fixtures.submission("t", 1), 60_000 * Fixtures.NANOS_PER_MILLI);
			List<StartCommand> starts = startsWithinTwoSeconds(scheduler, 60_000);
			assertThat(startedOn(starts)).containsExactly(REMOTE.address());
		}

		@Test
		void queuedTasksGoElsewhereAfterDrain() {
			Scheduler scheduler = scheduler("", LOCAL, REMOTE);
			scheduler.admit(Fixtures.submission("t", 12), 0);
			List<StartCommand> before = scheduler.schedule(0).starts();
			scheduler.updateVersion(version(2, Fixtures.DOMAIN, LOCAL, REMOTE), 1);
			before.forEach((start) -> scheduler.recordOutcome(start.task(),
					Fixtures.outcome(start, StartOutcome.Kind.SUCCEEDED), 1));
			assertThat(startedOn(startsWithinTwoSeconds(scheduler, 1))).containsExactly(REMOTE.address());
		}

		@Test
		void refusedStartIsRetriedElsewhereAfterDrain() {
			Scheduler scheduler = scheduler("", LOCAL, REMOTE);
			scheduler.admit(Fixtures.submission("t", 1), 0);
			StartCommand start = scheduler.schedule(0).starts().get(0);
			assertThat(start.endpoint()).isEqualTo(LOCAL);
			scheduler.updateVersion(version(2, Fixtures.DOMAIN, LOCAL, REMOTE), 1);
			assertThat(
					scheduler.recordOutcome(start.task(), Fixtures.outcome(start, StartOutcome.Kind.REFUSED_FULL), 2))
				.isInstanceOf(Disposition.Requeued.class);
			assertThat(startedOn(startsWithinTwoSeconds(scheduler, 1))).containsExactly(REMOTE.address());
		}

		@Test
		void startsAgainAfterReturnToService() {
			Scheduler scheduler = scheduler(Fixtures.DOMAIN, LOCAL, REMOTE);
			scheduler.updateVersion(version(2, "", LOCAL, REMOTE), 0);
			scheduler.admit(Fixtures.submission("t", 4), 0);
			assertThat(startedOn(scheduler.schedule(0).starts())).containsExactly(LOCAL.address());
		}

		@Test
		void endpointAddedToDrainedDomainIsDrained() {
			Scheduler scheduler = scheduler(Fixtures.DOMAIN, LOCAL, REMOTE);
			EndpointSpec added = Fixtures.endpoint(4, Fixtures.DOMAIN, 8);
			scheduler.updateVersion(version(2, Fixtures.DOMAIN, LOCAL, REMOTE, added), 0);
			scheduler.admit(Fixtures.submission("t", 20), 0);
			assertThat(startedOn(startsWithinTwoSeconds(scheduler, 0))).containsExactly(REMOTE.address());
		}

		@Test
		void ignoresDomainsWithoutEndpoints() {
			Scheduler scheduler = scheduler("elsewhere, ,-", LOCAL);
			scheduler.admit(Fixtures.submission("t", 8), 0);
			assertThat(startsWithinTwoSeconds(scheduler, 0)).hasSize(8);
		}

	}

	@Nested
	class RunningTasks {

		@Test
		void finishAndAreCounted() {
			Scheduler scheduler = scheduler("", LOCAL, REMOTE);
			scheduler.admit(Fixtures.submission("t", 2), 0);
			List<StartCommand> starts = scheduler.schedule(0).starts();
			assertThat(startedOn(starts)).containsExactly(LOCAL.address());
			scheduler.updateVersion(version(2, Fixtures.DOMAIN, LOCAL, REMOTE), 1);
			assertThat(scheduler.schedule(2).droppedTasks()).isEmpty();
			assertThat(scheduler.snapshot(2).endpoints().get(0)).satisfies((endpoint) -> {
				assertThat(endpoint.drained()).isTrue();
				assertThat(endpoint.state()).isEqualTo(EndpointState.LIVE);
				assertThat(endpoint.outstandingCount()).isEqualTo(2);
			});
			starts.forEach((start) -> assertThat(
					scheduler.recordOutcome(start.task(), Fixtures.outcome(start, StartOutcome.Kind.SUCCEEDED), 3))
				.isInstanceOf(Disposition.Done.class));
			assertThat(scheduler.snapshot(4).endpoints().get(0).outstandingCount()).isZero();
		}

		@Test
		void keepTheirJobQueuedAlthoughItsOtherTasksFitOnlyThere() {
			Scheduler scheduler = scheduler("", LARGE_REMOTE);
			scheduler.admit(largeJob("t", 20), 0);
			List<StartCommand> starts = scheduler.schedule(0).starts();
			assertThat(starts).isNotEmpty();
			scheduler.updateVersion(version(2, Fixtures.OTHER_DOMAIN, LARGE_REMOTE), 1);
			SchedulingDecisions drained = scheduler.schedule(2);
			assertThat(drained.droppedTasks()).isEmpty();
			assertThat(drained.starts()).isEmpty();
			scheduler.updateVersion(version(3, "", LARGE_REMOTE), 3);
			starts.forEach((start) -> scheduler.recordOutcome(start.task(),
					Fixtures.outcome(start, StartOutcome.Kind.SUCCEEDED), 4));
			assertThat(scheduler.schedule(5).starts()).isNotEmpty();
		}

	}

	@Nested
	class Refusals {

		@Test
		void refusesJobThatFitsOnlyThere() {
			Scheduler scheduler = scheduler(Fixtures.OTHER_DOMAIN, LOCAL, LARGE_REMOTE);
			Admission admission = scheduler.admit(largeJob("t", 1), 0);
			assertThat(admission).isInstanceOfSatisfying(Admission.Rejected.class, (rejected) -> {
				assertThat(rejected.code()).isEqualTo(ErrorCode.NO_ENDPOINT);
				assertThat(rejected.retryAfterMillis()).isGreaterThanOrEqualTo(1_000);
				assertThat(rejected.detail()).contains("drained failure domains (" + Fixtures.OTHER_DOMAIN + ")");
			});
			assertThat(scheduler.admit(Fixtures.submission("small", 1), 0)).isInstanceOf(Admission.Admitted.class);
		}

		@Test
		void refusesEveryJobWhileAllDomainsAreDrained() {
			Scheduler scheduler = scheduler(Fixtures.DOMAIN + "," + Fixtures.OTHER_DOMAIN, LOCAL, REMOTE);
			assertThat(scheduler.admit(Fixtures.submission("t", 1), 0)).isInstanceOfSatisfying(Admission.Rejected.class,
					(rejected) -> {
						assertThat(rejected.code()).isEqualTo(ErrorCode.NO_ENDPOINT);
						assertThat(rejected.retryAfterMillis()).isPositive();
					});
		}

		@Test
		void refusesJobThatNoEndpointFitsWithoutRetry() {
			Scheduler scheduler = scheduler(Fixtures.OTHER_DOMAIN, LOCAL, REMOTE);
			assertThat(scheduler.admit(largeJob("t", 1), 0)).isInstanceOfSatisfying(Admission.Rejected.class,
					(rejected) -> {
						assertThat(rejected.code()).isEqualTo(ErrorCode.NEVER_FITS);
						assertThat(rejected.retryAfterMillis()).isZero();
					});
		}

		@Test
		void dropsQueuedJobThatFitsOnlyThere() {
			Scheduler scheduler = scheduler("", LARGE_REMOTE);
			scheduler.admit(largeJob("running", 20), 0);
			assertThat(scheduler.schedule(0).starts()).isNotEmpty();
			scheduler.admit(largeJob("queued", 2), 1);
			scheduler.updateVersion(version(2, Fixtures.OTHER_DOMAIN, LOCAL, LARGE_REMOTE), 2);
			assertThat(scheduler.schedule(3).droppedTasks()).hasSize(2).allSatisfy((dropped) -> {
				assertThat(dropped.task().ticket()).isEqualTo("queued");
				assertThat(dropped.code()).isEqualTo(ErrorCode.NO_ENDPOINT);
				assertThat(dropped.retryAfterMillis()).isPositive();
			});
		}

		@Test
		void abandonsRefusedTaskThatFitsOnlyThere() {
			Scheduler scheduler = scheduler("", LARGE_REMOTE);
			scheduler.admit(largeJob("t", 1), 0);
			StartCommand start = scheduler.schedule(0).starts().get(0);
			scheduler.updateVersion(version(2, Fixtures.OTHER_DOMAIN, LARGE_REMOTE), 1);
			assertThat(
					scheduler.recordOutcome(start.task(), Fixtures.outcome(start, StartOutcome.Kind.REFUSED_FULL), 2))
				.isInstanceOfSatisfying(Disposition.Abandoned.class, (abandoned) -> {
					assertThat(abandoned.code()).isEqualTo(ErrorCode.NO_ENDPOINT);
					assertThat(abandoned.retryAfterMillis()).isPositive();
				});
			assertThat(scheduler.schedule(3).droppedTasks()).isEmpty();
		}

	}

	@Nested
	class Capacity {

		/**
		 * Guards against a drained own domain being taken for a single slot, by which
		 * jobs would be refused although other domains can run them in time.
		 */
		@Test
		void ofOtherDomainsCountsWhileOwnDomainIsDrained() {
			EndpointSpec[] endpoints = IntStream.range(1, 41)
				.mapToObj((i) -> Fixtures.endpoint(i, (i < 9) ? Fixtures.DOMAIN : Fixtures.OTHER_DOMAIN, 8))
				.toArray(EndpointSpec[]::new);
			Scheduler scheduler = Fixtures.scheduler(SchedulerSettings.defaults(),
					version(1, Fixtures.DOMAIN, endpoints));
			JobSubmission job = new JobSubmission("t", Fixtures.request("team", false, 200),
					20_000 * Fixtures.NANOS_PER_MILLI);
			assertThat(scheduler.admit(job, 0)).isInstanceOf(Admission.Admitted.class);
		}

		@ParameterizedTest
		@CsvSource({ "'', 8", "hobart, 0", "launceston, 8" })
		void reportedToPeersExcludesDrainedDomain(String drainedDomains, int slotCount) {
			Scheduler scheduler = scheduler(drainedDomains, LOCAL, REMOTE);
			assertThat(scheduler.loadReport(0).services().get(Fixtures.SERVICE).slotCount()).isEqualTo(slotCount);
		}

	}

}
