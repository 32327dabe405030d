package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.masticwick.core.process.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link DurableJobs} with the scheduler that runs them.
 */
class DurableJobsTests {

	private static final String POOL = "domain";

	private static final JobOrigin ORIGIN = new JobOrigin("host-1", 1);

	private static final long EPOCH_MILLIS = 1_700_000_000_000L;

	private final RecordedActions actions = new RecordedActions();

	private final Keeper keeper = new Keeper();

	private final PoolScheduler scheduler = new PoolScheduler(PoolSettings.defaults(), this.actions);

	private final DurableJobs jobs = new DurableJobs(this.scheduler, this.keeper);

	private final Map<String, List<RunningTask>> running = new HashMap<>();

	private final Map<String, List<TerminatedRun>> ended = new HashMap<>();

	private boolean unread;

	@BeforeEach
	void listEndpoints() {
		this.scheduler.recoveryStatus(new RecoveryStatus() {

			@Override
			public boolean mayBeUnread(String jobId) {
				return DurableJobsTests.this.unread;
			}

			@Override
			public boolean isInProgress() {
				return DurableJobsTests.this.unread;
			}

		});
		List.of("a", "b").forEach((id) -> {
			this.running.put(id, new ArrayList<>());
			this.ended.put(id, new ArrayList<>());
			this.scheduler.endpointListed(new EndpointEntry(id, "service", new HostAddress("10.0.0.1", 80), POOL, true,
					new Resources(64_000, 1_000, 0), Set.of(), 0), 0);
			report(id, 1);
		});
	}

	private static DurableJobs.Timestamp at(long millis) {
		return new DurableJobs.Timestamp(millis, EPOCH_MILLIS + millis);
	}

	private static StepSpec step(int taskCount, long cpuMillicores, StepTraits traits, Integer... after) {
		return new StepSpec(taskCount, new Resources(cpuMillicores, 1, 0), 100, List.of(after), "", "", 0, traits);
	}

	private static JobSpec job(StepSpec... steps) {
		return new JobSpec("j", "payload", List.of(steps), true, JobSchedule.IMMEDIATE);
	}

	private static JobTerms terms() {
		return new JobTerms("queue", "service", 0, 2, 1.6, 60, 5_000, 3);
	}

	private void report(String id, long nowMillis) {
		this.scheduler.endpointReported(id,
				new EndpointReport(0, nowMillis, List.copyOf(this.running.get(id)), List.copyOf(this.ended.get(id))),
				nowMillis - 1, nowMillis);
	}

	private void submit(JobSpec job, long nowMillis) {
		this.jobs.submit(POOL, job, terms(), ORIGIN, at(nowMillis));
	}

	private void accept(JobSpec job, long nowMillis) {
		submit(job, nowMillis);
		storeAll(nowMillis);
	}

	// The shared log takes all that waits.
	private void storeAll(long nowMillis) {
		Map<String, Long> writes = Map.copyOf(this.keeper.writes);
		this.keeper.writes.clear();
		writes.forEach((jobId, revision) -> this.jobs.progressStored(jobId, revision, at(nowMillis)));
	}

	private List<RecordedActions.Start> starts() {
		return this.actions.starts();
	}

	private RecordedActions.Start start(int index) {
		return starts().get(index);
	}

	private void end(RecordedActions.Start start, TerminationKind kind, String checkpoint, long nowMillis) {
		endRun(start.endpointId(), start.run(), kind, checkpoint);
		report(start.endpointId(), nowMillis);
		passOnAnswers(nowMillis);
	}

	private void endRun(String endpointId, TaskRun run, TerminationKind kind, String checkpoint) {
		List<TerminatedRun> ends = this.ended.get(endpointId);
		ends.add(new TerminatedRun(ends.size() + 1, run, kind, checkpoint));
	}

	// Does what the owner of the pool does with what the scheduler decides.
	private void passOnAnswers(long nowMillis) {
		this.actions.endedJobs().forEach((ended) -> this.jobs.runTerminated(ended.job(), ended.end(), at(nowMillis)));
		this.actions.endedJobs().clear();
		this.actions.answered()
			.forEach((answer) -> this.jobs.occurrenceFinished(answer.job(), answer.outcome(), at(nowMillis)));
		this.actions.answered().clear();
	}

	private DurableProgress progress() {
		return this.jobs.progress("j").orElseThrow();
	}

	@Nested
	class Accepting {

		@Test
		void answersAndStartsOnlyWhenTheLogHasTheJob() {
			submit(job(step(1, 1_000, StepTraits.DEFAULT)), 10);
			assertThat(DurableJobsTests.this.keeper.answers).isEmpty();
			assertThat(starts()).isEmpty();
			assertThat(DurableJobsTests.this.jobs.status("j")).isEmpty();
			storeAll(20);
			assertThat(DurableJobsTests.this.keeper.answers).extracting(JobOutcome::kind)
				.containsExactly(JobOutcome.Kind.ACCEPTED);
			assertThat(starts()).hasSize(1);
		}

		@Test
		void takesAJobThatIsSubmittedAgainForTheSame() {
			accept(job(step(1, 1_000, StepTraits.DEFAULT)), 10);
			submit(job(step(1, 1_000, StepTraits.DEFAULT)), 30);
			assertThat(DurableJobsTests.this.keeper.answers).extracting(JobOutcome::kind)
				.containsExactly(JobOutcome.Kind.ACCEPTED, JobOutcome.Kind.ACCEPTED);
			assertThat(starts()).hasSize(1);
		}

		@Test
		void refusesWhatNoEndpointCanHold() {
			submit(job(step(1, 65_000, StepTraits.DEFAULT)), 10);
			assertThat(DurableJobsTests.this.keeper.answers).extracting(JobOutcome::kind)
				.containsExactly(JobOutcome.Kind.REFUSED);
			assertThat(DurableJobsTests.this.keeper.writes).isEmpty();
		}

		@Test
		void tellsThatTheFateIsUnknownWhenTheLogDoesNotAnswer() {
			submit(job(step(1, 1_000, StepTraits.DEFAULT)), 10);
			DurableJobsTests.this.jobs.tick(at(5_100));
			assertThat(DurableJobsTests.this.keeper.answers).extracting(JobOutcome::kind)
				.containsExactly(JobOutcome.Kind.UNCERTAIN);
			storeAll(6_000);
			assertThat(DurableJobsTests.this.jobs.status("j")).isPresent();
		}

	}

	@Nested
	class Ending {

		@Test
		void anEndIsAcknowledgedWhenTheLogHasIt() {
			accept(job(step(2, 1_000, StepTraits.DEFAULT)), 10);
			end(start(0), TerminationKind.DONE, "", 50);
			assertThat(DurableJobsTests.this.scheduler.acknowledgedTerminationNumber(start(0).endpointId())).isZero();
			assertThat(DurableJobsTests.this.scheduler.hasUnstoredTerminations(start(0).endpointId())).isTrue();
			storeAll(60);
			assertThat(DurableJobsTests.this.scheduler.acknowledgedTerminationNumber(start(0).endpointId()))
				.isEqualTo(1);
		}

		@Test
		void isToldWhenTheLogHasIt() {
			accept(job(step(1, 1_000, StepTraits.DEFAULT)), 10);
			end(start(0), TerminationKind.DONE, "", 50);
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.RUNNING);
			storeAll(60);
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.COMPLETED);
		}

		@Test
		void failsAfterAsManyFailuresAsTheQueueAllows() {
			accept(job(step(1, 1_000, StepTraits.DEFAULT)), 10);
			end(start(0), TerminationKind.FAILED, "", 50);
			end(start(1), TerminationKind.FAILED, "", 90);
			storeAll(100);
			assertThat(starts()).hasSize(2);
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.FAILED);
		}

		@ParameterizedTest
		@EnumSource(value = TerminationKind.class, names = { "STOPPED", "LAPSED", "LOST" })
		void goesOnFromTheNewestCheckpoint(TerminationKind kind) {
			accept(job(step(1, 1_000, StepTraits.DEFAULT)), 10);
			end(start(0), kind, "half", 50);
			assertThat(start(1).checkpoint()).isEqualTo("half");
			assertThat(start(1).run().number()).isEqualTo(2);
		}

	}

	@Nested
	class Cancelling {

		@Test
		void stopsAtOnceAndIsToldWhenTheLogHasIt() {
			accept(job(step(2, 1_000, StepTraits.DEFAULT)), 10);
			assertThat(DurableJobsTests.this.jobs.cancel("j", at(20))).isTrue();
			assertThat(DurableJobsTests.this.actions.stops()).hasSize(2);
			assertThat(DurableJobsTests.this.keeper.cancelled).isEmpty();
			storeAll(30);
			assertThat(DurableJobsTests.this.keeper.cancelled).containsExactly("j");
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.CANCELLED);
		}

		@Test
		void doesNotKnowOtherJobs() {
			assertThat(DurableJobsTests.this.jobs.cancel("other", at(20))).isFalse();
		}

	}

	@Nested
	class TakingOver {

		private final DurableJob kept = new DurableJob(
				job(step(2, 1_000, StepTraits.DEFAULT), step(1, 1_000, StepTraits.DEFAULT, 0)), terms(), EPOCH_MILLIS);

		private void recover(TaskProgress... tasks) {
			DurableJobsTests.this.jobs.recover(POOL, this.kept, new DurableProgress(DurableState.ACTIVE, EPOCH_MILLIS,
					List.of(new OccurrenceProgress(0, false, List.of(tasks)))), at(100));
			DurableJobsTests.this.unread = false;
		}

		private void letGoOn() {
			DurableJobsTests.this.jobs.setSuspended(POOL, false, at(200));
			DurableJobsTests.this.scheduler.tick(200);
		}

		@Test
		void startsNothingBeforeAllIsCertain() {
			recover();
			DurableJobsTests.this.scheduler.tick(150);
			assertThat(starts()).isEmpty();
			letGoOn();
			assertThat(starts()).hasSize(2);
		}

		@Test
		void startsOnlyWhatIsNotDone() {
			recover(new TaskProgress(0, 0, true, 1, 0, ""), new TaskProgress(0, 1, false, 3, 1, "half"));
			letGoOn();
			assertThat(starts()).singleElement().satisfies((start) -> {
				assertThat(start.run()).isEqualTo(new TaskRun(new TaskId("j", 0, 0, 1), 4));
				assertThat(start.checkpoint()).isEqualTo("half");
			});
		}

		@Test
		void goesOnWithWhatRuns() {
			TaskRun run = new TaskRun(new TaskId("j", 0, 0, 0), 2);
			DurableJobsTests.this.running.get("a").add(new RunningTask(run, 40));
			DurableJobsTests.this.unread = true;
			report("a", 50);
			assertThat(DurableJobsTests.this.actions.stops()).isEmpty();
			recover();
			report("a", 110);
			letGoOn();
			assertThat(starts()).extracting((start) -> start.run().task().index()).containsExactly(1);
		}

		@Test
		void stopsRunsOfJobsThatAreNotKept() {
			TaskRun run = new TaskRun(new TaskId("other", 0, 0, 0), 2);
			DurableJobsTests.this.running.get("a").add(new RunningTask(run, 40));
			report("a", 50);
			assertThat(DurableJobsTests.this.actions.stops()).containsExactly(run);
		}

		@Test
		void anEndThatWasListedBeforeTheJobWasReadCounts() {
			DurableJobsTests.this.unread = true;
			endRun("a", new TaskRun(new TaskId("j", 0, 0, 0), 1), TerminationKind.DONE, "");
			report("a", 50);
			assertThat(DurableJobsTests.this.scheduler.acknowledgedTerminationNumber("a")).isZero();
			recover();
			report("a", 110);
			passOnAnswers(110);
			letGoOn();
			assertThat(starts()).extracting((start) -> start.run().task().index()).containsExactly(1);
			assertThat(progress().occurrences().get(0).tasks()).extracting(TaskProgress::done).containsExactly(true);
		}

		@Test
		void anEndThatCanNeverBeToldIsGivenUpAfterAWhile() {
			DurableJobsTests.this.unread = true;
			endRun("a", new TaskRun(new TaskId("other", 0, 0, 0), 1), TerminationKind.DONE, "");
			report("a", 50);
			report("a", 19_000);
			assertThat(DurableJobsTests.this.scheduler.acknowledgedTerminationNumber("a")).isZero();
			report("a", 21_000);
			assertThat(DurableJobsTests.this.scheduler.acknowledgedTerminationNumber("a")).isEqualTo(1);
		}

		// Found on the bench: the earlier owner could not write that the first step was
		// done.
		@Test
		void aStepThatOpensLateIsNotStartedAgain() {
			TaskRun later = new TaskRun(new TaskId("j", 0, 1, 0), 1);
			DurableJobsTests.this.running.get("b").add(new RunningTask(later, 40));
			endRun("a", new TaskRun(new TaskId("j", 0, 0, 0), 1), TerminationKind.DONE, "");
			endRun("a", new TaskRun(new TaskId("j", 0, 0, 1), 1), TerminationKind.DONE, "");
			DurableJobsTests.this.unread = true;
			recover();
			report("b", 110);
			report("a", 120);
			letGoOn();
			assertThat(starts()).isEmpty();
		}

		@Test
		void aTaskOfALaterStepWaitsForTheEarlierOneAfterItsRunIsLost() {
			TaskRun later = new TaskRun(new TaskId("j", 0, 1, 0), 1);
			DurableJobsTests.this.running.get("b").add(new RunningTask(later, 40));
			recover();
			report("b", 110);
			DurableJobsTests.this.running.get("b").clear();
			report("b", 130);
			letGoOn();
			assertThat(starts()).extracting((start) -> start.run().task().step()).containsOnly(0);
		}

		@Test
		void jobsOfAPoolThatIsLostAreStopped() {
			accept(job(step(1, 1_000, StepTraits.DEFAULT)), 10);
			DurableJobsTests.this.jobs.removePool(POOL, at(20));
			assertThat(DurableJobsTests.this.actions.stops()).hasSize(1);
			assertThat(DurableJobsTests.this.jobs.status("j")).isEmpty();
		}

	}

	@Nested
	class SplitOwners {

		private static final TerminationId END = new TerminationId("a", 0, 1);

		private RecordedActions.Start startOnLostEndpoint() {
			accept(job(step(1, 1_000, StepTraits.DEFAULT)), 10);
			RecordedActions.Start first = start(0);
			DurableJobsTests.this.scheduler.endpointRevoked(first.endpointId(), 20);
			return first;
		}

		// Found on the bench: the endpoint went to another owner just as the task was
		// done.
		@Test
		void aTaskThatWasDoneAtAnotherOwnerIsNotStartedAgain() {
			RecordedActions.Start first = startOnLostEndpoint();
			assertThat(DurableJobsTests.this.jobs.orphanedRunTerminated(END,
					new TerminatedRun(1, first.run(), TerminationKind.DONE), at(100)))
				.isTrue();
			passOnAnswers(100);
			DurableJobsTests.this.scheduler.tick(2_500);
			assertThat(starts()).hasSize(1);
			assertThat(DurableJobsTests.this.keeper.storedEnds).isEmpty();
			storeAll(110);
			assertThat(DurableJobsTests.this.keeper.storedEnds).containsExactly(END);
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.COMPLETED);
		}

		@Test
		void aTaskThatWasStoppedThereStartsOnceMore() {
			RecordedActions.Start first = startOnLostEndpoint();
			DurableJobsTests.this.jobs.orphanedRunTerminated(END,
					new TerminatedRun(1, first.run(), TerminationKind.STOPPED, "half"), at(100));
			DurableJobsTests.this.scheduler.tick(120);
			report("b", 2_400);
			report("a", 2_400);
			DurableJobsTests.this.scheduler.tick(2_500);
			assertThat(starts()).hasSize(2);
			assertThat(start(1).checkpoint()).isEqualTo("half");
		}

		@Test
		void aTaskOfWhichNothingIsHeardStartsAgainWhenItsRunIsCertainlyOver() {
			startOnLostEndpoint();
			List.of("a", "b").forEach((id) -> report(id, 1_900));
			DurableJobsTests.this.scheduler.tick(1_900);
			assertThat(starts()).hasSize(1);
			List.of("a", "b").forEach((id) -> report(id, 2_030));
			DurableJobsTests.this.scheduler.tick(2_030);
			assertThat(starts()).hasSize(2);
		}

		// Found in review: the word of the other owner ended the wait, and nothing else
		// started the task again.
		@Test
		void aLongRunningTaskThatWasStoppedThereStartsAgain() {
			accept(job(step(1, 1_000, new StepTraits(false, true, false, false))), 10);
			RecordedActions.Start first = start(0);
			DurableJobsTests.this.scheduler.endpointRevoked(first.endpointId(), 20);
			DurableJobsTests.this.jobs.orphanedRunTerminated(END,
					new TerminatedRun(1, first.run(), TerminationKind.STOPPED), at(100));
			assertThat(starts()).hasSize(2);
		}

		// Found in review: the lost member started the whole gang again beside the
		// others.
		@Test
		void aGangThatLostAMemberStartsAgainWhenAllHaveEnded() {
			accept(job(step(2, 40_000, new StepTraits(true, false, false, false))), 10);
			RecordedActions.Start lost = start(0);
			RecordedActions.Start other = start(1);
			DurableJobsTests.this.scheduler.endpointListed(new EndpointEntry("c", "service",
					new HostAddress("10.0.0.1", 80), POOL, true, new Resources(64_000, 1_000, 0), Set.of(), 0), 10);
			DurableJobsTests.this.running.put("c", new ArrayList<>());
			DurableJobsTests.this.ended.put("c", new ArrayList<>());
			DurableJobsTests.this.scheduler.endpointRevoked(lost.endpointId(), 20);
			assertThat(DurableJobsTests.this.actions.stops()).containsExactly(other.run());
			end(other, TerminationKind.STOPPED, "", 60);
			report("c", 70);
			assertThat(starts()).hasSize(2);
			DurableJobsTests.this.jobs.orphanedRunTerminated(END,
					new TerminatedRun(1, lost.run(), TerminationKind.STOPPED), at(100));
			assertThat(starts().subList(2, 4)).extracting((start) -> start.run().number()).containsOnly(2);
		}

		@Test
		void endsOfUnknownJobsAreNotWritten() {
			TaskRun run = new TaskRun(new TaskId("other", 0, 0, 0), 1);
			assertThat(DurableJobsTests.this.jobs.orphanedRunTerminated(END,
					new TerminatedRun(1, run, TerminationKind.DONE), at(100)))
				.isFalse();
		}

		@Test
		void theOtherOwnerIsToldUntilItHasTheEnd() {
			DurableJobsTests.this.unread = true;
			endRun("a", new TaskRun(new TaskId("other", 0, 0, 0), 1), TerminationKind.DONE, "");
			report("a", 50);
			report("a", 100);
			report("a", 600);
			assertThat(DurableJobsTests.this.actions.strayEnds()).containsExactly(END, END);
			DurableJobsTests.this.scheduler.orphanedTerminationRecorded(END);
			assertThat(DurableJobsTests.this.scheduler.acknowledgedTerminationNumber("a")).isEqualTo(1);
		}

	}

	@Nested
	class Kinds {

		private static final StepTraits GANG = new StepTraits(true, false, false, false);

		private static final StepTraits LONG_RUNNING = new StepTraits(false, true, false, false);

		private static final StepTraits BACKFILL = new StepTraits(false, true, true, false);

		private static final StepTraits SERVING = new StepTraits(false, true, false, true);

		@Test
		void occurrencesRunWhenTheyAreDue() {
			JobSpec timed = new JobSpec("j", "payload", List.of(step(1, 1_000, StepTraits.DEFAULT)), true,
					new JobSchedule(3, EPOCH_MILLIS + 100, 50));
			accept(timed, 10);
			DurableJobsTests.this.jobs.tick(at(99));
			assertThat(starts()).isEmpty();
			DurableJobsTests.this.jobs.tick(at(100));
			DurableJobsTests.this.scheduler.tick(100);
			assertThat(starts()).hasSize(1);
			DurableJobsTests.this.jobs.tick(at(200));
			DurableJobsTests.this.scheduler.tick(200);
			assertThat(starts()).extracting((start) -> start.run().task().occurrence()).containsExactly(0, 1, 2);
		}

		@Test
		void aTimedJobIsCompletedWithItsLastOccurrence() {
			JobSpec timed = new JobSpec("j", "payload", List.of(step(1, 1_000, StepTraits.DEFAULT)), true,
					new JobSchedule(2, EPOCH_MILLIS + 1, 1));
			accept(timed, 10);
			DurableJobsTests.this.scheduler.tick(10);
			end(start(1), TerminationKind.DONE, "", 50);
			storeAll(60);
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.RUNNING);
			end(start(0), TerminationKind.DONE, "", 70);
			storeAll(80);
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.COMPLETED);
		}

		@ParameterizedTest
		@EnumSource(value = TerminationKind.class, names = { "DONE", "FAILED", "STOPPED", "LAPSED" })
		void longRunningTasksAreStartedAgainHoweverTheyEnd(TerminationKind kind) {
			accept(job(step(1, 1_000, LONG_RUNNING)), 10);
			end(start(0), kind, "", 50);
			end(start(1), kind, "", 90);
			end(start(2), kind, "", 130);
			assertThat(starts()).hasSize(4);
		}

		@Test
		void aGangStartsWholeOrNotAtAll() {
			accept(job(step(3, 60_000, GANG)), 10);
			assertThat(starts()).isEmpty();
			assertThat(DurableJobsTests.this.scheduler.load(11).freeMillicores()).isEqualTo(128_000);
		}

		@Test
		void aGangStartsAgainTogetherWithOneNumber() {
			accept(job(step(2, 60_000, GANG)), 10);
			assertThat(starts()).hasSize(2);
			end(start(0), TerminationKind.FAILED, "", 50);
			assertThat(DurableJobsTests.this.actions.stops()).containsExactly(start(1).run());
			assertThat(starts()).hasSize(2);
			end(start(1), TerminationKind.BROKEN, "", 60);
			assertThat(starts().subList(2, 4)).extracting((start) -> start.run().number()).containsOnly(2);
		}

		@Test
		void oneEndAsDoneStandsForTheWholeGang() {
			accept(job(step(2, 60_000, GANG)), 10);
			end(start(0), TerminationKind.DONE, "", 50);
			storeAll(60);
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.COMPLETED);
		}

		@Test
		void backfillTakesNoProcessorAndKeepsAwayFromTasksThatServe() {
			accept(job(step(1, 64_000, SERVING), step(2, 64_000, BACKFILL)), 10);
			String serving = start(0).endpointId();
			assertThat(starts()).hasSize(3);
			assertThat(starts().subList(1, 3)).extracting(RecordedActions.Start::endpointId).doesNotContain(serving);
		}

	}

	private final class Keeper implements DurableJobActions {

		private final Map<String, Long> writes = new HashMap<>();

		private final List<JobOutcome> answers = new ArrayList<>();

		private final List<String> cancelled = new ArrayList<>();

		private final List<TerminationId> storedEnds = new ArrayList<>();

		@Override
		public void writeDefinition(String pool, DurableJob job) {
		}

		@Override
		public void writeProgress(String pool, String jobId, long revision) {
			this.writes.put(jobId, revision);
		}

		@Override
		public void terminationStored(TerminationId end) {
			this.storedEnds.add(end);
			DurableJobsTests.this.scheduler.terminationStored(end);
		}

		@Override
		public void remove(String pool, String jobId, boolean progressToo) {
		}

		@Override
		public void answer(JobOrigin origin, String jobId, JobOutcome outcome) {
			this.answers.add(outcome);
		}

		@Override
		public void answerCancellation(String jobId) {
			this.cancelled.add(jobId);
		}

	}

}
