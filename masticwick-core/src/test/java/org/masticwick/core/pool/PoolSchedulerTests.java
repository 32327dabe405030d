package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.process.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PoolScheduler}.
 */
class PoolSchedulerTests {

	private static final JobOrigin ORIGIN = new JobOrigin("host-1", 1);

	private static final JobOrigin OTHER_ORIGIN = new JobOrigin("host-2", 7);

	private final RecordedActions actions = new RecordedActions();

	private final PoolScheduler scheduler = new PoolScheduler(PoolSettings.defaults(), this.actions);

	private long terminationCount;

	@BeforeEach
	void listEndpoints() {
		list("a", 64_000, 0);
		list("b", 64_000, 0);
	}

	private void list(String id, long cpuMillicores, long startedEpochMillis) {
		this.scheduler.endpointListed(entry(id, cpuMillicores, true, startedEpochMillis), 0);
		report(id, List.of(), List.of(), 0, 1);
	}

	private static EndpointEntry entry(String id, long cpuMillicores, boolean ready, long startedEpochMillis) {
		return new EndpointEntry(id, "service", new HostAddress("10.0.0.1", 80), "domain", ready,
				new Resources(cpuMillicores, 1_000, 0), Set.of("kind-a"), startedEpochMillis);
	}

	private void report(String id, List<RunningTask> runningTasks, List<TerminatedRun> terminatedRuns,
			long requestedMillis, long nowMillis) {
		this.scheduler.endpointReported(id, new EndpointReport(0, nowMillis, runningTasks, terminatedRuns),
				requestedMillis, nowMillis);
	}

	private void terminate(RecordedActions.Start start, TerminationKind kind, long nowMillis) {
		List<RunningTask> otherRunningTasks = otherRunningTasks(start);
		this.terminationCount++;
		report(start.endpointId(), otherRunningTasks,
				List.of(new TerminatedRun(this.terminationCount, start.run(), kind)), nowMillis - 1, nowMillis);
	}

	private List<RunningTask> otherRunningTasks(RecordedActions.Start start) {
		List<RunningTask> running = new ArrayList<>();
		this.actions.starts()
			.stream()
			.filter((other) -> other.endpointId().equals(start.endpointId()) && !other.equals(start))
			.forEach((other) -> running.add(new RunningTask(other.run(), 50)));
		return running;
	}

	private RecordedActions.Start lastStart() {
		return this.actions.starts().get(this.actions.starts().size() - 1);
	}

	private JobOutcome lastOutcome() {
		return this.actions.answers().get(this.actions.answers().size() - 1).outcome();
	}

	private static StepSpec step(int taskCount, long cpuMillicores, long estimatedMillis, Integer... after) {
		return new StepSpec(taskCount, new Resources(cpuMillicores, 1, 0), estimatedMillis, Arrays.asList(after), "",
				"", 0);
	}

	private static JobSpec job(String id, StepSpec... steps) {
		return new JobSpec(id, "payload", List.of(steps));
	}

	private static JobTerms terms(int maxAttempts) {
		return new JobTerms("queue", "service", 0, maxAttempts, 1.6, 60, 5_000, 3);
	}

	private void submit(JobSpec job, long nowMillis) {
		this.scheduler.submit(job, terms(2), ORIGIN, nowMillis);
	}

	@Nested
	class Pauses {

		/**
		 * A process that was paused used to start waiting tasks when it went on, although
		 * their callers had submitted the jobs elsewhere meanwhile.
		 */
		@Test
		void startNoTaskOfAJobThatIsGivenUpMeanwhile() {
			PauseGuard guard = new PauseGuard(10, 10);
			PoolSchedulerTests.this.scheduler.startDelay((nowMillis) -> guard.delaysStarts(nowMillis, nowMillis));
			submit(job("running", step(2, 60_000, 1_000)), 10);
			submit(job("waiting", step(1, 60_000, 1_000)), 20);
			RecordedActions.Start running = PoolSchedulerTests.this.actions.starts().get(0);
			terminate(running, TerminationKind.DONE, 900);
			guard.tick(901, 901);
			PoolSchedulerTests.this.scheduler.entryHostLost(ORIGIN.host(), 910);
			guard.tick(1_105, 1_105);
			PoolSchedulerTests.this.scheduler.tick(1_105);
			assertThat(PoolSchedulerTests.this.actions.starts()).extracting((start) -> start.run().task().jobId())
				.doesNotContain("waiting");
		}

		@Test
		void startTheTasksOfOtherJobsAfterwards() {
			PauseGuard guard = new PauseGuard(10, 10);
			PoolSchedulerTests.this.scheduler.startDelay((nowMillis) -> guard.delaysStarts(nowMillis, nowMillis));
			submit(job("waiting", step(1, 60_000, 1_000)), 900);
			guard.tick(901, 901);
			guard.tick(1_105, 1_105);
			report("a", List.of(), List.of(), 1_104, 1_105);
			PoolSchedulerTests.this.scheduler.tick(1_105);
			assertThat(lastStart().run().task().jobId()).isEqualTo("waiting");
		}

	}

	@Nested
	class CapacitiesThatChange {

		private void resize(String id, long cpuMillicores) {
			PoolSchedulerTests.this.scheduler.endpointListed(entry(id, cpuMillicores, true, 0), 50);
		}

		@BeforeEach
		void useOneEndpoint() {
			PoolSchedulerTests.this.scheduler.endpointUnlisted("b", 5);
			submit(job("first", step(2, 27_000, 100)), 10);
		}

		@Test
		void getNoTaskUntilTheirRunsFitAgain() {
			resize("a", 30_000);
			submit(job("second", step(1, 27_000, 100)), 60);
			terminate(PoolSchedulerTests.this.actions.starts().get(0), TerminationKind.DONE, 100);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(2);
			report("a", List.of(), List
				.of(new TerminatedRun(2, PoolSchedulerTests.this.actions.starts().get(1).run(), TerminationKind.DONE)),
					109, 110);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(3);
		}

		@Test
		void countARunThatIsBeingStopped() {
			resize("a", 54_000);
			PoolSchedulerTests.this.scheduler.cancel("first", ORIGIN, 60);
			submit(job("second", step(1, 27_000, 100)), 70);
			RecordedActions.Start stopped = PoolSchedulerTests.this.actions.starts().get(0);
			PoolSchedulerTests.this.actions.stops()
				.forEach((run) -> PoolSchedulerTests.this.scheduler.stopConfirmed("a", run, 70, 71));
			PoolSchedulerTests.this.scheduler.tick(80);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(2);
			terminate(stopped, TerminationKind.STOPPED, 110);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(3);
		}

		@Test
		void getTasksWhenTheyGrow() {
			submit(job("second", step(1, 27_000, 100)), 40);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(2);
			resize("a", 96_000);
			PoolSchedulerTests.this.scheduler.tick(60);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(3);
		}

		/**
		 * Jobs wait for capacity that is gone for a while, as long as they can be useful.
		 */
		@Test
		void keepJobsWaitingWhileNoneFits() {
			resize("a", 1_000);
			terminate(PoolSchedulerTests.this.actions.starts().get(0), TerminationKind.DONE, 60);
			assertThat(PoolSchedulerTests.this.actions.answers()).isEmpty();
			submit(job("second", step(1, 27_000, 100)), 70);
			assertThat(lastOutcome().kind()).isEqualTo(JobOutcome.Kind.REFUSED);
			assertThat(lastOutcome().retryAfterMillis()).isPositive();
		}

	}

	@Nested
	class FullEndpoints {

		/**
		 * A pass used to end after 40 tasks of decreasing size that could not be placed.
		 */
		@Test
		void startASmallTaskBehindManyLargeOnes() {
			submit(job("filling", step(2, 54_000, 1)), 10);
			IntStream.range(0, 45)
				.forEach((number) -> submit(job("large-" + number, step(1, 60_000 - 1_000 * number, 1)), 10));
			submit(job("small", step(1, 5_000, 1)), 10);
			assertThat(lastStart().run().task().jobId()).isEqualTo("small");
		}

		@Test
		void startWaitingTasksOfOtherSizesOnceTheyAreFree() {
			submit(job("filling", step(2, 54_000, 1)), 10);
			IntStream.range(0, 45)
				.forEach((number) -> submit(job("large-" + number, step(1, 60_000 - 1_000 * number, 1)), 10));
			terminate(PoolSchedulerTests.this.actions.starts().get(0), TerminationKind.DONE, 12);
			assertThat(lastStart().run().task().jobId()).isEqualTo("large-0");
		}

	}

	@Nested
	class Admission {

		@Test
		void startsAllTasksIfCapacityIsFree() {
			submit(job("j", step(4, 30_000, 100)), 10);
			assertThat(PoolSchedulerTests.this.actions.starts()).extracting(RecordedActions.Start::endpointId)
				.containsExactlyInAnyOrder("a", "a", "b", "b");
		}

		@Test
		void refusesWithRetryAfterIfNoEndpointIsLargeEnough() {
			submit(job("j", step(1, 65_000, 100)), 10);
			assertThat(lastOutcome().kind()).isEqualTo(JobOutcome.Kind.REFUSED);
			assertThat(lastOutcome().retryAfterMillis()).isPositive();
		}

		@Test
		void refusesLateJobsWhileTheBacklogIsLarge() {
			IntStream.range(0, 30).forEach((number) -> submit(job("j" + number, step(2, 60_000, 200)), 10));
			assertThat(PoolSchedulerTests.this.actions.answers()).isNotEmpty()
				.allSatisfy((answer) -> assertThat(answer.outcome().kind()).isEqualTo(JobOutcome.Kind.REFUSED));
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(2);
		}

		@Test
		void aRefusedJobIsNeverStarted() {
			IntStream.range(0, 30).forEach((number) -> submit(job("j" + number, step(2, 60_000, 200)), 10));
			List<String> refused = PoolSchedulerTests.this.actions.answers()
				.stream()
				.map(RecordedActions.Answer::jobId)
				.toList();
			IntStream.range(0, 20).forEach((round) -> {
				terminate(lastStart(), TerminationKind.DONE, 50 + 10 * round);
				PoolSchedulerTests.this.scheduler.tick(55 + 10 * round);
			});
			assertThat(PoolSchedulerTests.this.actions.starts())
				.noneMatch((start) -> refused.contains(start.run().task().jobId()));
		}

		@Test
		void answersAStartedJobAsUncertainAtItsDeadline() {
			submit(job("j", step(1, 1_000, 100)), 10);
			PoolSchedulerTests.this.scheduler.tick(10 + 5_000);
			assertThat(lastOutcome().kind()).isEqualTo(JobOutcome.Kind.UNCERTAIN);
			assertThat(PoolSchedulerTests.this.actions.stops()).containsExactly(lastStart().run());
		}

	}

	@Nested
	class Order {

		@Test
		void aStepWaitsForAllTasksOfItsPredecessors() {
			submit(job("j", step(2, 1_000, 100), step(1, 1_000, 100, 0)), 10);
			List<RecordedActions.Start> first = List.copyOf(PoolSchedulerTests.this.actions.starts());
			assertThat(first).hasSize(2);
			terminate(first.get(0), TerminationKind.DONE, 100);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(2);
			terminate(first.get(1), TerminationKind.DONE, 110);
			assertThat(lastStart().run().task().step()).isEqualTo(1);
		}

		@Test
		void theJobWithTheLeastSlackStartsFirst() {
			submit(job("full", step(2, 64_000, 100)), 10);
			submit(job("long", step(1, 64_000, 1_000)), 10);
			submit(job("short", step(1, 64_000, 60)), 10);
			terminate(PoolSchedulerTests.this.actions.starts().get(0), TerminationKind.DONE, 20);
			assertThat(lastStart().run().task().jobId()).isEqualTo("short");
		}

	}

	/**
	 * Guards against a task that cannot be placed at the head of its job keeping the
	 * other ready steps of the job from starting.
	 */
	@Nested
	class AStepThatWaits {

		private List<String> startedSteps() {
			return PoolSchedulerTests.this.actions.starts()
				.stream()
				.map((start) -> start.run().task().jobId() + "/" + start.run().task().step())
				.distinct()
				.toList();
		}

		private static StepSpec labelledStep(String label, int maxPerEndpoint) {
			return new StepSpec(1, new Resources(1_000, 1, 0), 100, List.of(), label, "", maxPerEndpoint);
		}

		private static StepSpec gang(int memberCount, long cpuMillicores) {
			return new StepSpec(memberCount, new Resources(cpuMillicores, 1, 0), 100, List.of(), "", "", 0,
					new StepTraits(true, false, false, false));
		}

		@ParameterizedTest
		@ValueSource(ints = { 0, 1 })
		void forALostKindOfEndpointLetsTheOthersStart(int maxPerEndpoint) {
			PoolSchedulerTests.this.scheduler
				.endpointListed(new EndpointEntry("rare", "service", new HostAddress("10.0.0.2", 80), "domain", true,
						new Resources(64_000, 1_000, 0), Set.of("kind-b"), 0), 0);
			report("rare", List.of(), List.of(), 0, 1);
			submit(job("j", labelledStep("kind-b", maxPerEndpoint), step(2, 1_000, 100), step(2, 1_000, 100, 1)), 10);
			List<RecordedActions.Start> first = List.copyOf(PoolSchedulerTests.this.actions.starts());
			assertThat(startedSteps()).containsExactly("j/0", "j/1");
			PoolSchedulerTests.this.scheduler.startAccepted("rare", first.get(0).run(), 11);
			PoolSchedulerTests.this.scheduler.endpointUnlisted("rare", 20);
			PoolSchedulerTests.this.scheduler.leaseExpired("rare", 30);
			PoolSchedulerTests.this.scheduler.tick(40);
			report(first.get(1).endpointId(), List.of(),
					List.of(new TerminatedRun(1, first.get(1).run(), TerminationKind.DONE),
							new TerminatedRun(2, first.get(2).run(), TerminationKind.DONE)),
					49, 50);
			assertThat(startedSteps()).containsExactly("j/0", "j/1", "j/2");
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(5);
		}

		@Test
		void asAGangWithoutRoomLetsTheOthersStart() {
			submit(job("full", step(1, 60_000, 100)), 10);
			submit(job("j", gang(2, 60_000), step(2, 2_000, 100)), 20);
			assertThat(startedSteps()).containsExactly("full/0", "j/1");
		}

		@Test
		void startsOnceAnEndpointHasRoom() {
			submit(job("full", step(2, 60_000, 100)), 10);
			submit(job("j", step(2, 30_000, 100), step(2, 2_000, 100)), 20);
			assertThat(startedSteps()).containsExactly("full/0", "j/1");
			terminate(PoolSchedulerTests.this.actions.starts().get(0), TerminationKind.DONE, 60);
			assertThat(startedSteps()).containsExactly("full/0", "j/1", "j/0");
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(6);
		}

	}

	@Nested
	class Restart {

		@ParameterizedTest
		@EnumSource(value = TerminationKind.class, names = { "LAPSED", "BROKEN", "ALONE", "STOPPED", "LOST" })
		void restartsWithAHigherRunNumberAfterATermination(TerminationKind kind) {
			submit(job("j", step(1, 1_000, 100)), 10);
			terminate(lastStart(), kind, 50);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(2);
			assertThat(lastStart().run().number()).isEqualTo(2);
		}

		@Test
		void failsTheJobAfterItsMaximumAttempts() {
			submit(job("j", step(1, 1_000, 100)), 10);
			terminate(lastStart(), TerminationKind.FAILED, 50);
			terminate(lastStart(), TerminationKind.FAILED, 90);
			assertThat(lastOutcome().kind()).isEqualTo(JobOutcome.Kind.FAILED);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(2);
		}

		@Test
		void anUnansweredStartIsStoppedAndRestartsOnceTheEndpointRefusesIt() {
			submit(job("j", step(1, 1_000, 100)), 10);
			RecordedActions.Start start = lastStart();
			PoolSchedulerTests.this.scheduler.startUnanswered(start.endpointId(), start.run(), 130);
			assertThat(PoolSchedulerTests.this.actions.stops()).containsExactly(start.run());
			report(start.endpointId(), List.of(), List.of(), 130, 140);
			assertThat(PoolSchedulerTests.this.actions.starts()).as("requested with the number of the start")
				.hasSize(1);
			report(start.endpointId(), List.of(), List.of(), 131, 141);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(2);
		}

		@Test
		void aStartThatIsStoppedBeforeItsAnswerEndsAfterTheTimeOfAStop() {
			submit(job("j", step(1, 1_000, 100)), 10);
			RecordedActions.Start start = lastStart();
			PoolSchedulerTests.this.scheduler.cancel("j", ORIGIN, 20);
			PoolSchedulerTests.this.scheduler.submit(job("j", step(1, 1_000, 100)), terms(2), OTHER_ORIGIN, 30);
			assertThat(PoolSchedulerTests.this.actions.stops()).containsExactly(start.run());
			report(start.endpointId(), List.of(), List.of(), 131, 140);
			assertThat(PoolSchedulerTests.this.actions.starts()).as("before the stop is confirmed").hasSize(1);
			PoolSchedulerTests.this.scheduler.stopConfirmed(start.endpointId(), start.run(), 149, 150);
			report(start.endpointId(), List.of(), List.of(), 160, 170);
			assertThat(PoolSchedulerTests.this.actions.starts()).as("within the time of a stop").hasSize(1);
			report(start.endpointId(), List.of(), List.of(), 210, 215);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(2);
		}

		@Test
		void aRunOnAnUnresponsiveEndpointLastsUntilTheLeaseExpires() {
			submit(job("j", step(1, 1_000, 100)), 10);
			RecordedActions.Start start = lastStart();
			PoolSchedulerTests.this.scheduler.startAccepted(start.endpointId(), start.run(), 11);
			report(start.endpointId().equals("a") ? "b" : "a", List.of(), List.of(), 600, 601);
			PoolSchedulerTests.this.scheduler.tick(600);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(1);
			PoolSchedulerTests.this.scheduler.leaseExpired(start.endpointId(), 800);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(2);
			assertThat(lastStart().endpointId()).isNotEqualTo(start.endpointId());
		}

		@Test
		void anAcceptedRunMissingFromAReportIsLost() {
			submit(job("j", step(1, 1_000, 100)), 10);
			RecordedActions.Start start = lastStart();
			PoolSchedulerTests.this.scheduler.startAccepted(start.endpointId(), start.run(), 12);
			report(start.endpointId(), List.of(), List.of(), 11, 13);
			assertThat(PoolSchedulerTests.this.actions.starts()).as("asked before the start").hasSize(1);
			report(start.endpointId(), List.of(), List.of(), 14, 16);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(2);
		}

		@Test
		void aNewIncarnationTerminatesTheRunsOfThePreviousOne() {
			list("a", 64_000, 1_000);
			list("b", 1_000, 1_000);
			submit(job("j", step(1, 60_000, 100)), 10);
			assertThat(lastStart().endpointId()).isEqualTo("a");
			PoolSchedulerTests.this.scheduler.startAccepted("a", lastStart().run(), 12);
			PoolSchedulerTests.this.scheduler.endpointListed(entry("a", 64_000, true, 2_000), 50);
			report("a", List.of(), List.of(), 51, 52);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(2);
			assertThat(PoolSchedulerTests.this.scheduler.acknowledgedTerminationNumber("a")).isZero();
		}

		@Test
		void aSlowRunIsStoppedIfAnotherEndpointHasCapacity() {
			submit(job("j", step(1, 1_000, 100)), 10);
			RecordedActions.Start start = lastStart();
			PoolSchedulerTests.this.scheduler.startAccepted(start.endpointId(), start.run(), 11);
			report(start.endpointId(), List.of(new RunningTask(start.run(), 10)), List.of(), 149, 150);
			report(start.endpointId().equals("a") ? "b" : "a", List.of(), List.of(), 149, 150);
			PoolSchedulerTests.this.scheduler.tick(151);
			assertThat(PoolSchedulerTests.this.actions.stops()).containsExactly(start.run());
		}

		@Test
		void aDelayedReportDoesNotMakeARunSlow() {
			submit(job("j", step(1, 1_000, 100)), 10);
			RecordedActions.Start start = lastStart();
			PoolSchedulerTests.this.scheduler.startAccepted(start.endpointId(), start.run(), 11);
			report(start.endpointId().equals("a") ? "b" : "a", List.of(), List.of(), 399, 400);
			PoolSchedulerTests.this.scheduler.endpointReported(start.endpointId(),
					new EndpointReport(0, 80, List.of(new RunningTask(start.run(), 70)), List.of()), 20, 400);
			PoolSchedulerTests.this.scheduler.tick(401);
			assertThat(PoolSchedulerTests.this.actions.stops()).isEmpty();
		}

		@Test
		void anOldProgressReportDoesNotMakeARunSlow() {
			submit(job("j", step(1, 1_000, 100)), 10);
			RecordedActions.Start start = lastStart();
			PoolSchedulerTests.this.scheduler.startAccepted(start.endpointId(), start.run(), 11);
			report(start.endpointId(), List.of(new RunningTask(start.run(), 2)), List.of(), 12, 13);
			report(start.endpointId().equals("a") ? "b" : "a", List.of(), List.of(), 139, 140);
			PoolSchedulerTests.this.scheduler.tick(140);
			assertThat(PoolSchedulerTests.this.actions.stops()).isEmpty();
		}

	}

	@Nested
	class UnansweredStarts {

		private RecordedActions.Start start;

		@BeforeEach
		void leaveAStartUnanswered() {
			list("a", 64_000, 100);
			list("b", 64_000, 100);
			submit(job("j", step(1, 1_000, 100)), 10);
			this.start = lastStart();
			PoolSchedulerTests.this.scheduler.startUnanswered(this.start.endpointId(), this.start.run(), 130);
		}

		private void reportIncarnation(long startedEpochMillis, long requestedMillis, long nowMillis) {
			PoolSchedulerTests.this.scheduler.endpointReported(this.start.endpointId(),
					new EndpointReport(startedEpochMillis, nowMillis, List.of(), List.of()), requestedMillis,
					nowMillis);
		}

		private void keepOtherEndpointResponsive(long nowMillis) {
			report(this.start.endpointId().equals("a") ? "b" : "a", List.of(), List.of(), nowMillis - 1, nowMillis);
		}

		/**
		 * The task used to start elsewhere when the lease had expired, although an
		 * endpoint that was restarted, or counts the lease from the arrival, may execute
		 * the first start seconds later.
		 */
		@Test
		void areNotEndedByTheEndOfTheLease() {
			PoolSchedulerTests.this.scheduler.leaseExpired(this.start.endpointId(), 800);
			keepOtherEndpointResponsive(801);
			PoolSchedulerTests.this.scheduler.tick(802);
			assertThat(PoolSchedulerTests.this.actions.starts()).containsExactly(this.start);
			reportIncarnation(200, 3_000, 3_001);
			assertThat(PoolSchedulerTests.this.actions.starts()).as("refused by its number from now on").hasSize(2);
		}

		/**
		 * The first report of a restarted endpoint used to end them, although it has seen
		 * no command that makes it refuse the start.
		 */
		@Test
		void areNotEndedByAReportOfARestartedEndpointThatWasRequestedBefore() {
			reportIncarnation(200, 129, 140);
			assertThat(PoolSchedulerTests.this.actions.starts()).containsExactly(this.start);
			reportIncarnation(200, 141, 142);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(2);
		}

		/** A restarted endpoint does not know the stops that it confirmed before. */
		@Test
		void areNotEndedByAStopThatThePreviousIncarnationConfirmed() {
			submit(job("k", step(1, 1_000, 100)), 140);
			RecordedActions.Start inProgress = lastStart();
			PoolSchedulerTests.this.scheduler.cancel("k", ORIGIN, 141);
			PoolSchedulerTests.this.scheduler.submit(job("k", step(1, 1_000, 100)), terms(2), OTHER_ORIGIN, 142);
			PoolSchedulerTests.this.scheduler.stopConfirmed(inProgress.endpointId(), inProgress.run(), 144, 145);
			PoolSchedulerTests.this.scheduler.endpointReported(inProgress.endpointId(),
					new EndpointReport(200, 215, List.of(), List.of()), 210, 215);
			PoolSchedulerTests.this.scheduler.tick(216);
			assertThat(PoolSchedulerTests.this.actions.starts()).filteredOn((other) -> isOf(other, "k")).hasSize(1);
		}

		/** The answer may have been written by the previous incarnation. */
		@Test
		void areNotEndedByAnAnswerToAStopThatWasSentBeforeTheRestartWasNoticed() {
			submit(job("k", step(1, 1_000, 100)), 140);
			RecordedActions.Start inProgress = lastStart();
			PoolSchedulerTests.this.scheduler.cancel("k", ORIGIN, 141);
			PoolSchedulerTests.this.scheduler.submit(job("k", step(1, 1_000, 100)), terms(2), OTHER_ORIGIN, 142);
			PoolSchedulerTests.this.scheduler.endpointListed(entry(inProgress.endpointId(), 64_000, true, 200), 143);
			PoolSchedulerTests.this.scheduler.stopConfirmed(inProgress.endpointId(), inProgress.run(), 141, 145);
			PoolSchedulerTests.this.scheduler.endpointReported(inProgress.endpointId(),
					new EndpointReport(200, 215, List.of(), List.of()), 210, 215);
			PoolSchedulerTests.this.scheduler.tick(216);
			assertThat(PoolSchedulerTests.this.actions.starts()).filteredOn((other) -> isOf(other, "k")).hasSize(1);
		}

		private static boolean isOf(RecordedActions.Start other, String jobId) {
			return other.run().task().jobId().equals(jobId);
		}

		@Test
		void raiseTheNumberOfTheCommandsOnce() {
			long raised = PoolSchedulerTests.this.scheduler.commandCount(this.start.endpointId());
			PoolSchedulerTests.this.scheduler.tick(400);
			PoolSchedulerTests.this.scheduler.startUnanswered(this.start.endpointId(), this.start.run(), 410);
			assertThat(raised).isPositive();
			assertThat(PoolSchedulerTests.this.scheduler.commandCount(this.start.endpointId())).isEqualTo(raised);
		}

		@Test
		void leaveAnEndpointThatIsListedAgainWithAHigherNumber() {
			long raised = PoolSchedulerTests.this.scheduler.commandCount(this.start.endpointId());
			reportIncarnation(100, 140, 141);
			PoolSchedulerTests.this.scheduler.endpointRevoked(this.start.endpointId(), 150);
			list(this.start.endpointId(), 64_000, 100);
			assertThat(PoolSchedulerTests.this.scheduler.commandCount(this.start.endpointId()))
				.isGreaterThanOrEqualTo(raised);
		}

		/** The address refuses commands for the endpoint that had it before. */
		@Test
		void areEndedByAnotherEndpointAtTheAddress() {
			PoolSchedulerTests.this.scheduler.leaseExpired(this.start.endpointId(), 800);
			keepOtherEndpointResponsive(801);
			list("c", 1_000, 300);
			PoolSchedulerTests.this.scheduler.tick(802);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(2);
		}

		@Test
		void areEndedWhenNoCommandCanBeExecutedAnyMore() {
			PoolSchedulerTests.this.scheduler.endpointUnlisted(this.start.endpointId(), 200);
			PoolSchedulerTests.this.scheduler.leaseExpired(this.start.endpointId(), 800);
			PoolSchedulerTests.this.scheduler.tick(13_000);
			assertThat(PoolSchedulerTests.this.scheduler.isTracked(this.start.endpointId())).isTrue();
			PoolSchedulerTests.this.scheduler.tick(13_031);
			assertThat(PoolSchedulerTests.this.scheduler.isTracked(this.start.endpointId())).isFalse();
		}

	}

	@Nested
	class Resubmission {

		@Test
		void attachesToTheExistingJob() {
			submit(job("j", step(1, 1_000, 100)), 10);
			PoolSchedulerTests.this.scheduler.submit(job("j", step(1, 1_000, 100)), terms(2), OTHER_ORIGIN, 20);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(1);
			terminate(lastStart(), TerminationKind.DONE, 100);
			assertThat(PoolSchedulerTests.this.actions.answers()).hasSize(2);
			assertThat(PoolSchedulerTests.this.actions.answers().get(1).origin()).isEqualTo(OTHER_ORIGIN);
			assertThat(lastOutcome().kind()).isEqualTo(JobOutcome.Kind.COMPLETED);
		}

		@Test
		void waitsUntilTheRunsOfTheFirstSubmissionTerminate() {
			submit(job("j", step(1, 1_000, 100)), 10);
			RecordedActions.Start first = lastStart();
			PoolSchedulerTests.this.scheduler.cancel("j", ORIGIN, 20);
			PoolSchedulerTests.this.scheduler.submit(job("j", step(1, 1_000, 100)), terms(2), OTHER_ORIGIN, 30);
			assertThat(PoolSchedulerTests.this.actions.starts()).as("while the first still runs").hasSize(1);
			terminate(first, TerminationKind.STOPPED, 40);
			PoolSchedulerTests.this.scheduler.tick(41);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(2);
			assertThat(lastStart().run().number()).isEqualTo(2);
		}

		/** The second pool used to start the task while its first run went on here. */
		@Test
		void isNotToldToRunElsewhereWhileTheFirstSubmissionRuns() {
			submit(job("j", step(1, 1_000, 100)), 10);
			PoolSchedulerTests.this.scheduler.cancel("j", ORIGIN, 20);
			PoolSchedulerTests.this.scheduler.submit(job("j", step(1, 1_000, 9_000)), terms(2), OTHER_ORIGIN, 30);
			assertThat(lastOutcome().kind()).as("no time left").isEqualTo(JobOutcome.Kind.UNCERTAIN);
			PoolSchedulerTests.this.scheduler.submit(job("j", step(1, 1_000, 100)), terms(2), OTHER_ORIGIN, 40);
			PoolSchedulerTests.this.scheduler.abandonJobs(50);
			assertThat(lastOutcome().kind()).as("owner changed").isEqualTo(JobOutcome.Kind.UNCERTAIN);
		}

		/** Renewals used to keep a run alive whose stop request was lost. */
		@Test
		void findsTheLeaseOfTheFirstSubmissionNoLongerExtended() {
			PoolSchedulerTests.this.scheduler.endpointUnlisted("b", 5);
			submit(job("j", step(1, 1_000, 100)), 10);
			assertThat(PoolSchedulerTests.this.scheduler.mayExtendLease("a")).isTrue();
			PoolSchedulerTests.this.scheduler.cancel("j", ORIGIN, 20);
			assertThat(PoolSchedulerTests.this.scheduler.mayExtendLease("a")).isFalse();
			submit(job("other", step(1, 1_000, 100)), 30);
			assertThat(PoolSchedulerTests.this.actions.starts()).as("a start extends the lease").hasSize(1);
			PoolSchedulerTests.this.scheduler.stopConfirmed("a", lastStart().run(), 39, 40);
			PoolSchedulerTests.this.scheduler.tick(50);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(2);
			assertThat(PoolSchedulerTests.this.scheduler.mayExtendLease("a")).isTrue();
		}

		@Test
		void theJobsOfALostEntryHostAreStopped() {
			submit(job("j", step(1, 1_000, 100)), 10);
			PoolSchedulerTests.this.scheduler.entryHostLost(ORIGIN.host(), 600);
			assertThat(PoolSchedulerTests.this.actions.stops()).containsExactly(lastStart().run());
			assertThat(lastOutcome().kind()).isEqualTo(JobOutcome.Kind.UNCERTAIN);
		}

	}

	@Nested
	class Owners {

		@Test
		void orphanedRunsAreStoppedBeforeTheEndpointGetsTasks() {
			TaskRun orphaned = new TaskRun(new TaskId("other", 0, 0, 0), 1);
			report("a", List.of(new RunningTask(orphaned, 10)), List.of(), 5, 6);
			report("b", List.of(new RunningTask(orphaned, 10)), List.of(), 5, 6);
			assertThat(PoolSchedulerTests.this.actions.stops()).containsExactly(orphaned, orphaned);
			submit(job("j", step(1, 1_000, 100)), 10);
			assertThat(PoolSchedulerTests.this.actions.starts()).isEmpty();
			report("a", List.of(), List.of(), 60, 61);
			assertThat(lastStart().endpointId()).isEqualTo("a");
		}

		@Test
		void theNextOwnerContinuesRunningTasks() {
			submit(job("j", step(2, 1_000, 100), step(1, 1_000, 100, 0)), 10);
			List<RecordedActions.Start> starts = List.copyOf(PoolSchedulerTests.this.actions.starts());
			starts.forEach(
					(start) -> PoolSchedulerTests.this.scheduler.startAccepted(start.endpointId(), start.run(), 11));
			terminate(starts.get(0), TerminationKind.DONE, 60);
			PoolTransfer transfer = PoolSchedulerTests.this.scheduler.transfer(70);
			RecordedActions nextActions = new RecordedActions();
			PoolScheduler next = new PoolScheduler(PoolSettings.defaults(), nextActions);
			transfer.endpoints().forEach((endpoint) -> next.endpointListed(endpoint, 1_000));
			next.adopt(transfer, 1_000);
			assertThat(nextActions.starts()).as("the running task is not started again").isEmpty();
			RecordedActions.Start running = starts.get(1);
			next.endpointReported(running.endpointId(), new EndpointReport(0, 1, List.of(),
					List.of(new TerminatedRun(9, running.run(), TerminationKind.DONE))), 1_010, 1_011);
			assertThat(nextActions.starts()).hasSize(1);
			RecordedActions.Start last = nextActions.starts().get(0);
			assertThat(last.run().task().step()).isEqualTo(1);
			next.endpointReported(last.endpointId(), new EndpointReport(0, 1, List.of(),
					List.of(new TerminatedRun(10, last.run(), TerminationKind.DONE))), 1_100, 1_101);
			assertThat(nextActions.answers()).hasSize(1);
			assertThat(nextActions.answers().get(0).outcome().kind()).isEqualTo(JobOutcome.Kind.COMPLETED);
			assertThat(nextActions.answers().get(0).origin()).isEqualTo(ORIGIN);
		}

		private RecordedActions handOver(boolean listEndpoints) {
			PoolTransfer transfer = PoolSchedulerTests.this.scheduler.transfer(70);
			RecordedActions nextActions = new RecordedActions();
			PoolScheduler next = new PoolScheduler(PoolSettings.defaults(), nextActions);
			next.endpointListed(entry("c", 64_000, true, 0), 1_000);
			next.endpointReported("c", new EndpointReport(0, 1, List.of(), List.of()), 1_000, 1_001);
			if (listEndpoints) {
				transfer.endpoints().forEach((endpoint) -> next.endpointListed(endpoint, 1_000));
			}
			next.adopt(transfer, 1_002);
			return nextActions;
		}

		/** The next owner used to start the task again on an endpoint that it knew. */
		@Test
		void theNextOwnerStartsNoTaskThatRunsOnAnEndpointItDoesNotKnow() {
			submit(job("j", step(1, 1_000, 100)), 10);
			PoolSchedulerTests.this.scheduler.startAccepted("a", lastStart().run(), 11);
			RecordedActions nextActions = handOver(false);
			assertThat(nextActions.starts()).isEmpty();
			assertThat(nextActions.answers()).hasSize(1);
			assertThat(nextActions.answers().get(0).outcome().kind()).isEqualTo(JobOutcome.Kind.UNCERTAIN);
		}

		/**
		 * The next owner used to start a job that waited for the end of the runs of its
		 * first submission.
		 */
		@Test
		void theNextOwnerStartsNoTaskWhoseFirstSubmissionStillRuns() {
			submit(job("j", step(1, 1_000, 100)), 10);
			PoolSchedulerTests.this.scheduler.cancel("j", ORIGIN, 20);
			PoolSchedulerTests.this.scheduler.submit(job("j", step(1, 1_000, 100)), terms(2), OTHER_ORIGIN, 30);
			assertThat(handOver(true).starts()).isEmpty();
		}

		/** The run used to count as ended although the next owner had yet to stop it. */
		@Test
		void aJobWhoseFirstSubmissionRunsOnAnEndpointOfAnotherOwnerIsAnsweredAsUncertain() {
			submit(job("j", step(1, 1_000, 100)), 10);
			RecordedActions.Start first = lastStart();
			PoolSchedulerTests.this.scheduler.cancel("j", ORIGIN, 20);
			PoolSchedulerTests.this.scheduler.submit(job("j", step(1, 1_000, 100)), terms(2), OTHER_ORIGIN, 30);
			PoolSchedulerTests.this.scheduler.endpointRevoked(first.endpointId(), 50);
			PoolSchedulerTests.this.scheduler.tick(60);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(1);
			assertThat(lastOutcome().kind()).isEqualTo(JobOutcome.Kind.UNCERTAIN);
		}

		/** Renewals of a new owner used to keep runs alive that it was stopping. */
		@Test
		void orphanedRunsAreNotKeptAliveByRenewals() {
			TaskRun orphaned = new TaskRun(new TaskId("other", 0, 0, 0), 1);
			report("a", List.of(new RunningTask(orphaned, 10)), List.of(), 5, 6);
			assertThat(PoolSchedulerTests.this.scheduler.isBusy("a")).isTrue();
			assertThat(PoolSchedulerTests.this.scheduler.mayExtendLease("a")).isFalse();
		}

		@Test
		void aJobWithRunsOnEndpointsOfAnotherOwnerIsAnsweredAsUncertain() {
			submit(job("j", step(1, 1_000, 100)), 10);
			PoolSchedulerTests.this.scheduler.endpointRevoked(lastStart().endpointId(), 50);
			assertThat(lastOutcome().kind()).isEqualTo(JobOutcome.Kind.UNCERTAIN);
		}

		@Test
		void aFormerOwnerRefusesJobsThatHaveNotStarted() {
			submit(job("running", step(2, 64_000, 100)), 10);
			submit(job("waiting", step(1, 64_000, 500)), 10);
			PoolSchedulerTests.this.scheduler.abandonJobs(20);
			assertThat(PoolSchedulerTests.this.actions.answers())
				.filteredOn((answer) -> answer.jobId().equals("waiting"))
				.allSatisfy((answer) -> assertThat(answer.outcome().kind()).isEqualTo(JobOutcome.Kind.REFUSED));
			assertThat(PoolSchedulerTests.this.actions.answers())
				.filteredOn((answer) -> answer.jobId().equals("running"))
				.allSatisfy((answer) -> assertThat(answer.outcome().kind()).isEqualTo(JobOutcome.Kind.UNCERTAIN));
		}

	}

	@Nested
	class Endpoints {

		@Test
		void aLeavingEndpointGetsNoNewTasks() {
			PoolSchedulerTests.this.scheduler.endpointListed(entry("a", 64_000, false, 0), 5);
			submit(job("j", step(2, 30_000, 100)), 10);
			assertThat(PoolSchedulerTests.this.actions.starts()).extracting(RecordedActions.Start::endpointId)
				.containsOnly("b");
		}

		@Test
		void anUnresponsiveEndpointGetsNoNewTasks() {
			report("b", List.of(), List.of(), 899, 900);
			submit(job("j", step(2, 30_000, 100)), 901);
			assertThat(PoolSchedulerTests.this.actions.starts()).extracting(RecordedActions.Start::endpointId)
				.containsOnly("b");
		}

		@Test
		void anEndpointThatFailsTasksOfSeveralJobsIsPaused() {
			PoolSchedulerTests.this.scheduler.endpointUnlisted("b", 5);
			submit(job("j1", step(1, 1_000, 100)), 10);
			terminate(lastStart(), TerminationKind.FAILED, 20);
			terminate(lastStart(), TerminationKind.FAILED, 30);
			submit(job("j2", step(1, 1_000, 100)), 40);
			terminate(lastStart(), TerminationKind.FAILED, 50);
			int startCount = PoolSchedulerTests.this.actions.starts().size();
			submit(job("j3", step(1, 1_000, 100)), 60);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(startCount);
		}

		private RecordedActions.Start startOnAnEndpointWithAKnownStart() {
			list("a", 64_000, 100);
			list("b", 64_000, 100);
			submit(job("j", step(1, 1_000, 100)), 10);
			PoolSchedulerTests.this.scheduler.startAccepted(lastStart().endpointId(), lastStart().run(), 12);
			return lastStart();
		}

		/**
		 * A run that the new incarnation had accepted used to count as lost with the
		 * previous one, so that the task started again beside it.
		 */
		@Test
		void aRunOfARestartedEndpointIsNotStartedAgainWhileItIsListed() {
			RecordedActions.Start start = startOnAnEndpointWithAKnownStart();
			PoolSchedulerTests.this.scheduler.endpointReported(start.endpointId(),
					new EndpointReport(200, 20, List.of(new RunningTask(start.run(), 5)), List.of()), 15, 20);
			PoolSchedulerTests.this.scheduler.tick(30);
			assertThat(PoolSchedulerTests.this.actions.starts()).containsExactly(start);
			assertThat(PoolSchedulerTests.this.actions.stops()).isEmpty();
			PoolSchedulerTests.this.scheduler.endpointReported(start.endpointId(), new EndpointReport(200, 40,
					List.of(), List.of(new TerminatedRun(1, start.run(), TerminationKind.DONE))), 35, 40);
			assertThat(lastOutcome().kind()).isEqualTo(JobOutcome.Kind.COMPLETED);
		}

		/**
		 * A report may have been written before the new incarnation accepted the run.
		 */
		@Test
		void aRunThatWasRequestedAfterTheReportOfARestartedEndpointIsNotStartedAgain() {
			RecordedActions.Start start = startOnAnEndpointWithAKnownStart();
			PoolSchedulerTests.this.scheduler.endpointReported(start.endpointId(),
					new EndpointReport(200, 20, List.of(), List.of()), 9, 20);
			PoolSchedulerTests.this.scheduler.tick(30);
			assertThat(PoolSchedulerTests.this.actions.starts()).containsExactly(start);
			PoolSchedulerTests.this.scheduler.endpointReported(start.endpointId(),
					new EndpointReport(200, 40, List.of(), List.of()), 35, 40);
			assertThat(PoolSchedulerTests.this.actions.starts()).as("not in the next report").hasSize(2);
		}

		/**
		 * The entry of a restarted endpoint does not tell which incarnation has a run.
		 */
		@Test
		void aRunOfAnEndpointThatIsListedAsRestartedIsNotStartedAgainBeforeItsReport() {
			RecordedActions.Start start = startOnAnEndpointWithAKnownStart();
			PoolSchedulerTests.this.scheduler.endpointListed(entry(start.endpointId(), 64_000, true, 200), 20);
			PoolSchedulerTests.this.scheduler.tick(30);
			assertThat(PoolSchedulerTests.this.actions.starts()).containsExactly(start);
			PoolSchedulerTests.this.scheduler.endpointReported(start.endpointId(),
					new EndpointReport(200, 40, List.of(), List.of()), 35, 40);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(2);
		}

		/**
		 * The numbers of terminations start anew with an incarnation, so that those of a
		 * delayed report used to acknowledge terminations that were never read.
		 */
		@Test
		void aDelayedReportOfThePreviousIncarnationAcknowledgesNothing() {
			RecordedActions.Start start = startOnAnEndpointWithAKnownStart();
			PoolSchedulerTests.this.scheduler.endpointListed(entry(start.endpointId(), 64_000, true, 200), 20);
			PoolSchedulerTests.this.scheduler.endpointReported(start.endpointId(), new EndpointReport(100, 9_000,
					List.of(), List.of(new TerminatedRun(1, start.run(), TerminationKind.STOPPED))), 19, 21);
			assertThat(PoolSchedulerTests.this.scheduler.acknowledgedTerminationNumber(start.endpointId())).isZero();
			PoolSchedulerTests.this.scheduler.endpointReported(start.endpointId(),
					new EndpointReport(200, 40, List.of(), List.of()), 35, 40);
			assertThat(PoolSchedulerTests.this.actions.starts()).hasSize(2);
		}

		@Test
		void theLoadContainsTheFreeCapacity() {
			submit(job("j", step(1, 30_000, 100)), 10);
			PoolLoad load = PoolSchedulerTests.this.scheduler.load(10);
			assertThat(load.totalMillicores()).isEqualTo(128_000);
			assertThat(load.freeMillicores()).isEqualTo(98_000);
			assertThat(load.jobCount()).isEqualTo(1);
		}

	}

}
