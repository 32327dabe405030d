package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.process.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link DurableJobs} together with the {@link PoolScheduler}.
 */
class DurableJobsTests {

	private static final String POOL = "domain";

	private static final JobOrigin ORIGIN = new JobOrigin("host-1", 1);

	private static final long EPOCH_MILLIS = 1_700_000_000_000L;

	/** A job of a pool that another host owns. */
	private static final String JOB_OF_ANOTHER_OWNER = "elsewhere";

	private final RecordedActions actions = new RecordedActions();

	private final RecordedJobActions jobActions = new RecordedJobActions();

	private final PoolScheduler scheduler = new PoolScheduler(PoolSettings.defaults(), this.actions);

	private final DurableJobs jobs = new DurableJobs(this.scheduler, this.jobActions);

	private final Map<String, List<RunningTask>> runningTasks = new HashMap<>();

	private final Map<String, List<TerminatedRun>> terminatedRuns = new HashMap<>();

	private boolean recoveryInProgress;

	@BeforeEach
	void listEndpoints() {
		this.scheduler.recoveryStatus(new RecoveryStatus() {

			@Override
			public boolean mayBeUnread(String jobId) {
				return DurableJobsTests.this.recoveryInProgress;
			}

			@Override
			public boolean isInProgress(String jobId) {
				return DurableJobsTests.this.recoveryInProgress && !jobId.equals(JOB_OF_ANOTHER_OWNER);
			}

		});
		List.of("a", "b").forEach((id) -> {
			this.runningTasks.put(id, new ArrayList<>());
			this.terminatedRuns.put(id, new ArrayList<>());
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
		this.scheduler.endpointReported(id, new EndpointReport(0, nowMillis, List.copyOf(this.runningTasks.get(id)),
				List.copyOf(this.terminatedRuns.get(id))), nowMillis - 1, nowMillis);
	}

	private void submit(JobSpec job, long nowMillis) {
		this.jobs.submit(POOL, job, terms(), ORIGIN, at(nowMillis));
	}

	private void submitAndStore(JobSpec job, long nowMillis) {
		submit(job, nowMillis);
		confirmWrites(nowMillis);
	}

	// Confirms all pending writes as stored in the shared log.
	private void confirmWrites(long nowMillis) {
		Map<String, Long> writes = Map.copyOf(this.jobActions.writes);
		this.jobActions.writes.clear();
		writes.forEach((jobId, revision) -> this.jobs.progressStored(jobId, revision, at(nowMillis)));
	}

	private List<RecordedActions.Start> starts() {
		return this.actions.starts();
	}

	private RecordedActions.Start start(int index) {
		return starts().get(index);
	}

	private void terminate(RecordedActions.Start start, TerminationKind kind, String checkpoint, long nowMillis) {
		addTermination(start.endpointId(), start.run(), kind, checkpoint);
		report(start.endpointId(), nowMillis);
		forwardSchedulerActions(nowMillis);
	}

	private void addTermination(String endpointId, TaskRun run, TerminationKind kind, String checkpoint) {
		List<TerminatedRun> terminations = this.terminatedRuns.get(endpointId);
		long number = terminations.isEmpty() ? 1 : terminations.get(terminations.size() - 1).number() + 1;
		terminations.add(new TerminatedRun(number, run, kind, checkpoint));
	}

	// Forwards the recorded actions of the scheduler to the durable jobs, as the owner of
	// a pool does.
	private void forwardSchedulerActions(long nowMillis) {
		this.actions.durableTerminations()
			.forEach((termination) -> this.jobs.runTerminated(termination.jobId(), termination.termination(),
					at(nowMillis)));
		this.actions.durableTerminations().clear();
		this.actions.answeredJobs()
			.forEach((answer) -> this.jobs.occurrenceFinished(answer.job(), answer.outcome(), at(nowMillis)));
		this.actions.answeredJobs().clear();
	}

	private DurableProgress progress() {
		return this.jobs.progress("j").orElseThrow();
	}

	@Nested
	class Accepting {

		@Test
		void answersAndStartsAfterTheJobIsStored() {
			submit(job(step(1, 1_000, StepTraits.DEFAULT)), 10);
			assertThat(DurableJobsTests.this.jobActions.answers).isEmpty();
			assertThat(starts()).isEmpty();
			assertThat(DurableJobsTests.this.jobs.status("j")).isEmpty();
			confirmWrites(20);
			assertThat(DurableJobsTests.this.jobActions.answers).extracting(JobOutcome::kind)
				.containsExactly(JobOutcome.Kind.ACCEPTED);
			assertThat(starts()).hasSize(1);
		}

		@Test
		void resubmittingAnAcceptedJobDoesNotStartItAgain() {
			submitAndStore(job(step(1, 1_000, StepTraits.DEFAULT)), 10);
			submit(job(step(1, 1_000, StepTraits.DEFAULT)), 30);
			assertThat(DurableJobsTests.this.jobActions.answers).extracting(JobOutcome::kind)
				.containsExactly(JobOutcome.Kind.ACCEPTED, JobOutcome.Kind.ACCEPTED);
			assertThat(starts()).hasSize(1);
		}

		@Test
		void refusesAJobThatFitsNoEndpoint() {
			submit(job(step(1, 65_000, StepTraits.DEFAULT)), 10);
			assertThat(DurableJobsTests.this.jobActions.answers).extracting(JobOutcome::kind)
				.containsExactly(JobOutcome.Kind.REFUSED);
			assertThat(DurableJobsTests.this.jobActions.writes).isEmpty();
		}

		@Test
		void answersUncertainIfTheJobIsNotStoredInTime() {
			submit(job(step(1, 1_000, StepTraits.DEFAULT)), 10);
			DurableJobsTests.this.jobs.tick(at(5_100));
			assertThat(DurableJobsTests.this.jobActions.answers).extracting(JobOutcome::kind)
				.containsExactly(JobOutcome.Kind.UNCERTAIN);
			confirmWrites(6_000);
			assertThat(DurableJobsTests.this.jobs.status("j")).isPresent();
		}

	}

	/**
	 * Guards against long-running tasks that fail leaving their endpoints suspected, so
	 * that the tasks stay without a run.
	 */
	@Nested
	class LongRunningTasks {

		private static final StepTraits LONG_RUNNING = new StepTraits(false, true, false, false);

		private static final int JOB_COUNT = 8;

		@BeforeEach
		void startJobs() {
			for (int number = 0; number < JOB_COUNT; number++) {
				submitAndStore(new JobSpec("j" + number, "payload", List.of(step(1, 12_000, LONG_RUNNING)), true,
						JobSchedule.IMMEDIATE), 10);
			}
			assertThat(starts()).hasSize(JOB_COUNT);
		}

		private void reportAll(int progressPercent, long nowMillis) {
			Set<TaskRun> ended = new HashSet<>();
			DurableJobsTests.this.terminatedRuns.values()
				.forEach((runs) -> runs.forEach((run) -> ended.add(run.run())));
			DurableJobsTests.this.runningTasks.forEach((endpoint, running) -> {
				running.clear();
				starts().stream()
					.filter((start) -> start.endpointId().equals(endpoint) && !ended.contains(start.run()))
					.forEach((start) -> running.add(new RunningTask(start.run(), progressPercent)));
			});
			List.of("a", "b").forEach((id) -> report(id, nowMillis));
			DurableJobsTests.this.scheduler.tick(nowMillis);
		}

		private void failOneAfterTheOther(int progressPercent) {
			List<RecordedActions.Start> first = List.copyOf(starts());
			long nowMillis = 20;
			reportAll(progressPercent, nowMillis);
			for (RecordedActions.Start start : first) {
				nowMillis += 5;
				addTermination(start.endpointId(), start.run(), TerminationKind.FAILED, "");
				reportAll(progressPercent, nowMillis);
			}
		}

		@Test
		void thatFailAtWorkAreAllRestartedAtOnce() {
			failOneAfterTheOther(100);
			assertThat(starts()).hasSize(2 * JOB_COUNT);
		}

		@Test
		void thatFailInTheirStartupAreAllRestartedOnceOthersAreAtWork() {
			failOneAfterTheOther(0);
			assertThat(starts()).as("the endpoints are paused").hasSizeLessThan(2 * JOB_COUNT);
			for (long nowMillis = 100; nowMillis <= 1_500; nowMillis += 100) {
				reportAll(100, nowMillis);
			}
			assertThat(starts()).hasSize(2 * JOB_COUNT);
		}

		@Test
		void atWorkDoNotKeepASuspectedEndpointFromATrial() {
			reportAll(100, 20);
			int startCount = JOB_COUNT - 1;
			for (int number = 0; startCount < starts().size(); number++) {
				startCount = starts().size();
				submitAndStore(new JobSpec("short" + number, "payload", List.of(step(1, 1_000, StepTraits.DEFAULT)),
						true, JobSchedule.IMMEDIATE), 30);
				for (int index = startCount; index < starts().size(); index++) {
					addTermination(start(index).endpointId(), start(index).run(), TerminationKind.FAILED, "");
					report(start(index).endpointId(), 40);
				}
			}
			for (long nowMillis = 100; nowMillis <= 1_500; nowMillis += 100) {
				reportAll(100, nowMillis);
			}
			assertThat(starts()).hasSizeGreaterThan(startCount);
		}

	}

	@Nested
	class Finishing {

		@Test
		void aTerminationIsAcknowledgedAfterItIsStored() {
			submitAndStore(job(step(2, 1_000, StepTraits.DEFAULT)), 10);
			terminate(start(0), TerminationKind.DONE, "", 50);
			assertThat(DurableJobsTests.this.scheduler.acknowledgedTerminationNumber(start(0).endpointId())).isZero();
			assertThat(DurableJobsTests.this.scheduler.hasUnstoredTerminations(start(0).endpointId())).isTrue();
			confirmWrites(60);
			assertThat(DurableJobsTests.this.scheduler.acknowledgedTerminationNumber(start(0).endpointId()))
				.isEqualTo(1);
		}

		@Test
		void theFinalStatusIsReturnedAfterItIsStored() {
			submitAndStore(job(step(1, 1_000, StepTraits.DEFAULT)), 10);
			terminate(start(0), TerminationKind.DONE, "", 50);
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.RUNNING);
			confirmWrites(60);
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.COMPLETED);
		}

		@Test
		void failsAfterTheMaximumAttemptsOfTheQueue() {
			submitAndStore(job(step(1, 1_000, StepTraits.DEFAULT)), 10);
			terminate(start(0), TerminationKind.FAILED, "", 50);
			terminate(start(1), TerminationKind.FAILED, "", 90);
			confirmWrites(100);
			assertThat(starts()).hasSize(2);
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.FAILED);
		}

		@ParameterizedTest
		@EnumSource(value = TerminationKind.class, names = { "STOPPED", "LAPSED", "LOST" })
		void restartsFromTheNewestCheckpoint(TerminationKind kind) {
			submitAndStore(job(step(1, 1_000, StepTraits.DEFAULT)), 10);
			terminate(start(0), kind, "half", 50);
			assertThat(start(1).checkpoint()).isEqualTo("half");
			assertThat(start(1).run().number()).isEqualTo(2);
		}

	}

	@Nested
	class Cancelling {

		@Test
		void stopsRunsAndAnswersAfterTheCancellationIsStored() {
			submitAndStore(job(step(2, 1_000, StepTraits.DEFAULT)), 10);
			assertThat(DurableJobsTests.this.jobs.cancel("j", at(20))).isTrue();
			assertThat(DurableJobsTests.this.actions.stops()).hasSize(2);
			assertThat(DurableJobsTests.this.jobActions.answeredCancellations).isEmpty();
			confirmWrites(30);
			assertThat(DurableJobsTests.this.jobActions.answeredCancellations).containsExactly("j");
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.CANCELLED);
		}

		@Test
		void rejectsAnUnknownJob() {
			assertThat(DurableJobsTests.this.jobs.cancel("other", at(20))).isFalse();
		}

		/**
		 * Guards against a cancellation that has no effect while the log has not
		 * confirmed the job.
		 */
		@Test
		void startsNothingOfAJobThatIsStillToBeStored() {
			submit(job(step(2, 1_000, StepTraits.DEFAULT)), 10);
			assertThat(DurableJobsTests.this.jobs.isUnsettled("j")).isTrue();
			assertThat(DurableJobsTests.this.jobs.cancel("j", at(20))).isTrue();
			DurableJobsTests.this.jobs.progressStored("j", 1, at(30));
			assertThat(DurableJobsTests.this.jobActions.answeredCancellations).isEmpty();
			confirmWrites(40);
			DurableJobsTests.this.jobs.tick(at(50));
			assertThat(starts()).isEmpty();
			assertThat(DurableJobsTests.this.jobActions.answeredCancellations).containsExactly("j");
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.CANCELLED);
		}

	}

	/**
	 * Guards against a submission that arrives after its cancellation was answered.
	 */
	@Nested
	class CancellingUnknownJobs {

		private static final long RETENTION_MILLIS = 150_000;

		private void cancelUnknown(long nowMillis) {
			assertThat(DurableJobsTests.this.jobs.cancelUnknown(POOL, "j", at(nowMillis))).isTrue();
		}

		private void assertSubmissionIs(JobOutcome.Kind outcome, long nowMillis) {
			submitAndStore(job(step(1, 1_000, StepTraits.DEFAULT)), nowMillis);
			assertThat(DurableJobsTests.this.jobActions.answers).extracting(JobOutcome::kind).containsExactly(outcome);
		}

		@Test
		void refusesTheirSubmissions() {
			cancelUnknown(20);
			assertThat(DurableJobsTests.this.jobActions.earlyCancellations).containsEntry("j", EPOCH_MILLIS + 20);
			assertSubmissionIs(JobOutcome.Kind.REFUSED, 30);
			assertThat(DurableJobsTests.this.jobs.status("j")).isEmpty();
			assertThat(starts()).isEmpty();
		}

		@Test
		void isForgottenAsLateAsAFinishedJob() {
			cancelUnknown(20);
			cancelUnknown(1_000);
			DurableJobsTests.this.jobs.tick(at(1_000 + RETENTION_MILLIS));
			assertThat(DurableJobsTests.this.jobActions.earlyCancellations).containsKey("j");
			DurableJobsTests.this.jobs.tick(at(2_001 + RETENTION_MILLIS));
			assertThat(DurableJobsTests.this.jobActions.earlyCancellations).isEmpty();
			assertSubmissionIs(JobOutcome.Kind.ACCEPTED, 2_010 + RETENTION_MILLIS);
		}

		@Test
		void isRecoveredByTheNextOwner() {
			DurableJobsTests.this.jobs.recoverEarlyCancellation(POOL, "j", EPOCH_MILLIS);
			assertSubmissionIs(JobOutcome.Kind.REFUSED, 30);
		}

		@Test
		void isLeftToTheNextOwner() {
			cancelUnknown(20);
			DurableJobsTests.this.jobs.removePool(POOL, at(25));
			assertSubmissionIs(JobOutcome.Kind.ACCEPTED, 30);
		}

		@Test
		void isRefusedIfThereAreTooMany() {
			for (int number = 0; number < EarlyCancellations.MAX_COUNT; number++) {
				DurableJobsTests.this.jobs.recoverEarlyCancellation(POOL, "other-" + number, EPOCH_MILLIS);
			}
			assertThat(DurableJobsTests.this.jobs.cancelUnknown(POOL, "j", at(20))).isFalse();
			assertThat(DurableJobsTests.this.jobs.cancelUnknown(POOL, "other-1", at(20))).isTrue();
		}

		@Test
		void isRecoveredHoweverManyThereAre() {
			for (int number = 0; number < EarlyCancellations.MAX_COUNT; number++) {
				DurableJobsTests.this.jobs.recoverEarlyCancellation(POOL, "other-" + number, EPOCH_MILLIS);
			}
			DurableJobsTests.this.jobs.recoverEarlyCancellation(POOL, "j", EPOCH_MILLIS);
			assertSubmissionIs(JobOutcome.Kind.REFUSED, 30);
		}

	}

	@Nested
	class Recovery {

		private final DurableJob storedJob = new DurableJob(
				job(step(2, 1_000, StepTraits.DEFAULT), step(1, 1_000, StepTraits.DEFAULT, 0)), terms(), EPOCH_MILLIS);

		private void recover(TaskProgress... tasks) {
			DurableJobsTests.this.jobs.recover(POOL, this.storedJob, new DurableProgress(DurableState.ACTIVE,
					EPOCH_MILLIS, List.of(new OccurrenceProgress(0, false, List.of(tasks)))), at(100));
			DurableJobsTests.this.recoveryInProgress = false;
		}

		private void resumePool() {
			DurableJobsTests.this.jobs.tick(at(200));
			DurableJobsTests.this.jobs.setSuspended(POOL, false, at(200));
			DurableJobsTests.this.scheduler.tick(200);
		}

		@Test
		void startsNoTaskWhileThePoolIsSuspended() {
			recover();
			DurableJobsTests.this.scheduler.tick(150);
			assertThat(starts()).isEmpty();
			resumePool();
			assertThat(starts()).hasSize(2);
		}

		@Test
		void startsOnlyTasksThatAreNotDone() {
			recover(new TaskProgress(0, 0, true, 1, 0, "", List.of(), List.of()),
					new TaskProgress(0, 1, false, 3, 1, "half", List.of(), List.of()));
			resumePool();
			assertThat(starts()).singleElement().satisfies((start) -> {
				assertThat(start.run()).isEqualTo(new TaskRun(new TaskId("j", 0, 0, 1), 1_001));
				assertThat(start.checkpoint()).isEqualTo("half");
			});
		}

		@Test
		void adoptsReportedRuns() {
			TaskRun run = new TaskRun(new TaskId("j", 0, 0, 0), 2);
			DurableJobsTests.this.runningTasks.get("a").add(new RunningTask(run, 40));
			DurableJobsTests.this.recoveryInProgress = true;
			report("a", 50);
			assertThat(DurableJobsTests.this.actions.stops()).isEmpty();
			recover();
			report("a", 110);
			resumePool();
			assertThat(starts()).extracting((start) -> start.run().task().index()).containsExactly(1);
		}

		@Test
		void stopsRunsOfUnknownJobs() {
			TaskRun run = new TaskRun(new TaskId("other", 0, 0, 0), 2);
			DurableJobsTests.this.runningTasks.get("a").add(new RunningTask(run, 40));
			report("a", 50);
			assertThat(DurableJobsTests.this.actions.stops()).containsExactly(run);
		}

		@Test
		void countsATerminationReportedBeforeTheJobIsRead() {
			DurableJobsTests.this.recoveryInProgress = true;
			addTermination("a", new TaskRun(new TaskId("j", 0, 0, 0), 1), TerminationKind.DONE, "");
			report("a", 50);
			assertThat(DurableJobsTests.this.scheduler.acknowledgedTerminationNumber("a")).isZero();
			recover();
			report("a", 110);
			forwardSchedulerActions(110);
			resumePool();
			assertThat(starts()).extracting((start) -> start.run().task().index()).containsExactly(1);
			assertThat(progress().occurrences().get(0).tasks()).extracting(TaskProgress::done).containsExactly(true);
		}

		// The end was acknowledged after 20 s without the owner of its job, which then
		// started the task again.
		@Test
		void keepsAnUnresolvedTerminationHoweverLong() {
			DurableJobsTests.this.recoveryInProgress = true;
			addTermination("a", new TaskRun(new TaskId("other", 0, 0, 0), 1), TerminationKind.DONE, "");
			LongStream.of(50, 19_000, 21_000, 3_600_000).forEach((millis) -> {
				report("a", millis);
				assertThat(DurableJobsTests.this.scheduler.acknowledgedTerminationNumber("a")).isZero();
			});
			DurableJobsTests.this.scheduler.orphanedTerminationRecorded(new TerminationId("a", 0, 1));
			assertThat(DurableJobsTests.this.scheduler.acknowledgedTerminationNumber("a")).isEqualTo(1);
		}

		// The previous owner started the second step but lost the shared log before it
		// could store that the first was done. The next owner then started the second
		// step twice.
		@Test
		void doesNotRestartAStepThatRunsBeforeItsPredecessorIsStored() {
			TaskRun later = new TaskRun(new TaskId("j", 0, 1, 0), 1);
			DurableJobsTests.this.runningTasks.get("b").add(new RunningTask(later, 40));
			addTermination("a", new TaskRun(new TaskId("j", 0, 0, 0), 1), TerminationKind.DONE, "");
			addTermination("a", new TaskRun(new TaskId("j", 0, 0, 1), 1), TerminationKind.DONE, "");
			DurableJobsTests.this.recoveryInProgress = true;
			recover();
			report("b", 110);
			report("a", 120);
			resumePool();
			assertThat(starts()).isEmpty();
		}

		@Test
		void aLostRunOfALaterStepWaitsForItsPredecessor() {
			TaskRun later = new TaskRun(new TaskId("j", 0, 1, 0), 1);
			DurableJobsTests.this.runningTasks.get("b").add(new RunningTask(later, 40));
			recover();
			report("b", 110);
			DurableJobsTests.this.runningTasks.get("b").clear();
			report("b", 130);
			resumePool();
			assertThat(starts()).extracting((start) -> start.run().task().step()).containsOnly(0);
		}

		// The clock of the previous owner was ahead. The end of its run was discarded as
		// that
		// of an unknown job, and the occurrence was started again when it was due here.
		@Test
		void keepsTheEndOfAnOccurrenceThatIsNotDueYet() {
			JobSpec timed = new JobSpec("j", "payload", List.of(step(1, 1_000, StepTraits.DEFAULT)), true,
					new JobSchedule(1, EPOCH_MILLIS + 300, 50));
			DurableJobsTests.this.jobs.recover(POOL, new DurableJob(timed, terms(), EPOCH_MILLIS),
					new DurableProgress(DurableState.ACTIVE, EPOCH_MILLIS, List.of()), at(100));
			addTermination("a", new TaskRun(new TaskId("j", 0, 0, 0), 1), TerminationKind.DONE, "");
			report("a", 110);
			resumePool();
			assertThat(DurableJobsTests.this.scheduler.acknowledgedTerminationNumber("a")).isZero();
			DurableJobsTests.this.jobs.tick(at(300));
			report("a", 310);
			assertThat(starts()).isEmpty();
		}

		// The owner of the job counts its run as lapsed after the longest lease, while a
		// standby that had taken the endpoint kept the run going for a second.
		@Test
		void stopsRunsOfJobsThatItWillNotRead() {
			TaskRun run = new TaskRun(new TaskId(JOB_OF_ANOTHER_OWNER, 0, 0, 0), 2);
			DurableJobsTests.this.recoveryInProgress = true;
			DurableJobsTests.this.runningTasks.get("a").add(new RunningTask(run, 40));
			report("a", 50);
			assertThat(DurableJobsTests.this.actions.stops()).containsExactly(run);
			assertThat(DurableJobsTests.this.scheduler.mayExtendLease("a")).isFalse();
		}

		@Test
		void keepsRunsOfJobsThatItWillReadSoon() {
			TaskRun run = new TaskRun(new TaskId("j", 0, 0, 0), 2);
			DurableJobsTests.this.recoveryInProgress = true;
			DurableJobsTests.this.runningTasks.get("a").add(new RunningTask(run, 40));
			report("a", 50);
			assertThat(DurableJobsTests.this.actions.stops()).isEmpty();
			assertThat(DurableJobsTests.this.scheduler.mayExtendLease("a")).isTrue();
		}

		@Test
		void removingAPoolStopsItsRuns() {
			submitAndStore(job(step(1, 1_000, StepTraits.DEFAULT)), 10);
			DurableJobsTests.this.jobs.removePool(POOL, at(20));
			assertThat(DurableJobsTests.this.actions.stops()).hasSize(1);
			assertThat(DurableJobsTests.this.jobs.status("j")).isEmpty();
		}

	}

	@Nested
	class LongLists {

		/** As many terminations as an endpoint lists at once. */
		private static final int MAX_LISTED = 500;

		// While the log stored nothing, an endpoint listed only its first 500
		// terminations;
		// a task whose end was not among them was started again.
		@Test
		void aRunWhoseEndMayNotBeListedIsNotRestarted() {
			submitAndStore(job(step(1, 1_000, StepTraits.DEFAULT)), 10);
			RecordedActions.Start first = start(0);
			DurableJobsTests.this.scheduler.startAccepted(first.endpointId(), first.run(), 20);
			DurableJobsTests.this.recoveryInProgress = true;
			IntStream.range(0, MAX_LISTED)
				.forEach((index) -> addTermination(first.endpointId(), new TaskRun(new TaskId("other", 0, 0, index), 1),
						TerminationKind.DONE, ""));
			report(first.endpointId(), 50);
			assertThat(starts()).hasSize(1);
			DurableJobsTests.this.terminatedRuns.get(first.endpointId()).remove(0);
			terminate(first, TerminationKind.DONE, "", 70);
			confirmWrites(80);
			assertThat(starts()).hasSize(1);
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.COMPLETED);
		}

	}

	@Nested
	class UnresolvedTerminations {

		private static final int MAX_UNACKNOWLEDGED = 400;

		private void listUnresolved(int count) {
			DurableJobsTests.this.recoveryInProgress = true;
			DurableJobsTests.this.terminatedRuns.values().forEach(List::clear);
			List.of("a", "b").forEach((id) -> {
				IntStream.range(0, count)
					.forEach((index) -> addTermination(id, new TaskRun(new TaskId("other", 0, 0, index), 1),
							TerminationKind.DONE, ""));
				report(id, 50);
			});
		}

		// From the 301st on they were acknowledged unread.
		@Test
		void areAllKept() {
			listUnresolved(MAX_UNACKNOWLEDGED + 50);
			assertThat(DurableJobsTests.this.scheduler.acknowledgedTerminationNumber("a")).isZero();
			assertThat(DurableJobsTests.this.actions.orphanedTerminations()).hasSize(2 * (MAX_UNACKNOWLEDGED + 50));
		}

		// The end of a new run might not be among those that the endpoint lists.
		@ParameterizedTest
		@ValueSource(ints = { MAX_UNACKNOWLEDGED - 1, MAX_UNACKNOWLEDGED })
		void keepNewTasksOffTheirEndpoint(int count) {
			listUnresolved(count);
			submitAndStore(job(step(1, 1_000, StepTraits.DEFAULT)), 60);
			assertThat(starts()).hasSize((count < MAX_UNACKNOWLEDGED) ? 1 : 0);
		}

	}

	@Nested
	class PoolOutOfReach {

		private RecordedActions.Start startAndLosePool() {
			DurableJobsTests.this.jobs.submit("pool", job(step(1, 1_000, StepTraits.DEFAULT)), terms(), ORIGIN, at(10));
			confirmWrites(10);
			RecordedActions.Start first = start(0);
			DurableJobsTests.this.runningTasks.get(first.endpointId()).add(new RunningTask(first.run(), 10));
			report(first.endpointId(), 20);
			assertThat(DurableJobsTests.this.scheduler.mayExtendLease(first.endpointId())).isTrue();
			DurableJobsTests.this.jobs.setSuspended("pool", true, at(30));
			DurableJobsTests.this.jobs.stopOutsideDomain("pool", at(30));
			return first;
		}

		// The next owner of the pool starts the task again 2 s after it has read the
		// jobs.
		@Test
		void theLeaseIsNotExtendedUntilTheStopIsConfirmed() {
			RecordedActions.Start first = startAndLosePool();
			assertThat(DurableJobsTests.this.actions.stops()).containsExactly(first.run());
			report(first.endpointId(), 100);
			assertThat(DurableJobsTests.this.scheduler.mayExtendLease(first.endpointId())).isFalse();
			DurableJobsTests.this.scheduler.stopConfirmed(first.endpointId(), first.run(), 119, 120);
			assertThat(DurableJobsTests.this.scheduler.mayExtendLease(first.endpointId())).isTrue();
		}

	}

	@Nested
	class RemovedPools {

		private void removePool(long nowMillis) {
			DurableJobsTests.this.jobs.removePool(POOL, at(nowMillis));
			DurableJobsTests.this.recoveryInProgress = true;
		}

		private void assertThatTheNextOwnerIsTold(String endpointId, TerminationId termination) {
			report(endpointId, 100);
			assertThat(DurableJobsTests.this.actions.orphanedTerminations()).containsExactly(termination);
			assertThat(DurableJobsTests.this.scheduler.acknowledgedTerminationNumber(endpointId)).isZero();
			DurableJobsTests.this.scheduler.orphanedTerminationRecorded(termination);
			assertThat(DurableJobsTests.this.scheduler.acknowledgedTerminationNumber(endpointId)).isEqualTo(1);
		}

		// The end was neither stored nor forwarded, and the next owner of the pool
		// started
		// the task again although it was done.
		@Test
		void theNextOwnerIsToldOfAnEndThatWasNotStored() {
			submitAndStore(job(step(2, 1_000, StepTraits.DEFAULT)), 10);
			terminate(start(0), TerminationKind.DONE, "", 50);
			removePool(60);
			assertThatTheNextOwnerIsTold(start(0).endpointId(), new TerminationId(start(0).endpointId(), 0, 1));
		}

		@Test
		void theNextOwnerIsToldOfAnEndAfterTheRemoval() {
			submitAndStore(job(step(2, 1_000, StepTraits.DEFAULT)), 10);
			removePool(40);
			terminate(start(0), TerminationKind.DONE, "", 50);
			assertThatTheNextOwnerIsTold(start(0).endpointId(), new TerminationId(start(0).endpointId(), 0, 1));
		}

		// The end of a run from before was taken for one of the previous ownership, and
		// the task was started again.
		@Test
		void anEndAfterTheReturnOfThePoolCountsForTheJob() {
			submitAndStore(job(step(1, 1_000, StepTraits.DEFAULT)), 10);
			removePool(40);
			DurableJobsTests.this.recoveryInProgress = false;
			DurableJobsTests.this.jobs.recover(POOL,
					new DurableJob(job(step(1, 1_000, StepTraits.DEFAULT)), terms(), EPOCH_MILLIS),
					new DurableProgress(DurableState.ACTIVE, EPOCH_MILLIS, List.of()), at(45));
			terminate(start(0), TerminationKind.DONE, "", 50);
			confirmWrites(60);
			DurableJobsTests.this.jobs.setSuspended(POOL, false, at(70));
			assertThat(starts()).hasSize(1);
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.COMPLETED);
		}

	}

	@Nested
	class RevokedEndpoints {

		private static final TerminationId TERMINATION = new TerminationId("a", 0, 1);

		private RecordedActions.Start startAndRevokeEndpoint() {
			submitAndStore(job(step(1, 1_000, StepTraits.DEFAULT)), 10);
			RecordedActions.Start first = start(0);
			DurableJobsTests.this.scheduler.endpointRevoked(first.endpointId(), 20);
			return first;
		}

		// The endpoint was taken by another owner just as the task was done; the task was
		// then started twice.
		@Test
		void aTaskThatAnotherOwnerReportsAsDoneIsNotRestarted() {
			RecordedActions.Start first = startAndRevokeEndpoint();
			assertThat(DurableJobsTests.this.jobs.orphanedRunTerminated(TERMINATION,
					new TerminatedRun(1, first.run(), TerminationKind.DONE), at(100)))
				.isTrue();
			forwardSchedulerActions(100);
			DurableJobsTests.this.scheduler.tick(2_500);
			assertThat(starts()).hasSize(1);
			assertThat(DurableJobsTests.this.jobActions.storedTerminations).isEmpty();
			confirmWrites(110);
			assertThat(DurableJobsTests.this.jobActions.storedTerminations).containsExactly(TERMINATION);
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.COMPLETED);
		}

		@Test
		void aTaskThatAnotherOwnerReportsAsStoppedRestartsOnce() {
			RecordedActions.Start first = startAndRevokeEndpoint();
			DurableJobsTests.this.jobs.orphanedRunTerminated(TERMINATION,
					new TerminatedRun(1, first.run(), TerminationKind.STOPPED, "half"), at(100));
			DurableJobsTests.this.scheduler.tick(120);
			report("b", 2_400);
			report("a", 2_400);
			DurableJobsTests.this.scheduler.tick(2_500);
			assertThat(starts()).hasSize(2);
			assertThat(start(1).checkpoint()).isEqualTo("half");
		}

		@Test
		void anUnreportedRunIsRestartedAfterTheMaximumOrphanedTime() {
			startAndRevokeEndpoint();
			List.of("a", "b").forEach((id) -> report(id, 1_900));
			DurableJobsTests.this.scheduler.tick(1_900);
			assertThat(starts()).hasSize(1);
			List.of("a", "b").forEach((id) -> report(id, 2_030));
			DurableJobsTests.this.scheduler.tick(2_030);
			assertThat(starts()).hasSize(2);
		}

		// The report of the other owner removed the task from those that wait for a
		// restart, but nothing restarted it.
		@Test
		void aLongRunningTaskThatAnotherOwnerReportsAsStoppedRestarts() {
			submitAndStore(job(step(1, 1_000, new StepTraits(false, true, false, false))), 10);
			RecordedActions.Start first = start(0);
			DurableJobsTests.this.scheduler.endpointRevoked(first.endpointId(), 20);
			DurableJobsTests.this.jobs.orphanedRunTerminated(TERMINATION,
					new TerminatedRun(1, first.run(), TerminationKind.STOPPED), at(100));
			assertThat(starts()).hasSize(2);
		}

		// The lost member restarted the whole gang while the other members were still
		// running.
		@Test
		void aGangRestartsAfterAllMembersHaveTerminated() {
			submitAndStore(job(step(2, 40_000, new StepTraits(true, false, false, false))), 10);
			RecordedActions.Start lost = start(0);
			RecordedActions.Start remaining = start(1);
			DurableJobsTests.this.scheduler.endpointListed(new EndpointEntry("c", "service",
					new HostAddress("10.0.0.1", 80), POOL, true, new Resources(64_000, 1_000, 0), Set.of(), 0), 10);
			DurableJobsTests.this.runningTasks.put("c", new ArrayList<>());
			DurableJobsTests.this.terminatedRuns.put("c", new ArrayList<>());
			DurableJobsTests.this.scheduler.endpointRevoked(lost.endpointId(), 20);
			assertThat(DurableJobsTests.this.actions.stops()).containsExactly(remaining.run());
			terminate(remaining, TerminationKind.STOPPED, "", 60);
			report("c", 70);
			assertThat(starts()).hasSize(2);
			DurableJobsTests.this.jobs.orphanedRunTerminated(TERMINATION,
					new TerminatedRun(1, lost.run(), TerminationKind.STOPPED), at(100));
			assertThat(starts().subList(2, 4)).extracting((start) -> start.run().number()).containsOnly(2);
		}

		// A run counted as lapsed without a listed end; its end was listed after the next
		// run had started, and a third run was started beside that one.
		@ParameterizedTest
		@ValueSource(booleans = { false, true })
		void theLateEndOfAnEarlierRunDoesNotRestartATaskBesideItsPresentRun(boolean longRunning) {
			submitAndStore(job(step(1, 1_000, new StepTraits(false, longRunning, false, false))), 10);
			RecordedActions.Start first = start(0);
			String other = first.endpointId().equals("a") ? "b" : "a";
			DurableJobsTests.this.scheduler.startAccepted(first.endpointId(), first.run(), 11);
			report(other, 790);
			DurableJobsTests.this.scheduler.leaseExpired(first.endpointId(), 800);
			assertThat(start(1).endpointId()).isEqualTo(other);
			DurableJobsTests.this.scheduler.endpointRevoked(other, 810);
			terminate(first, TerminationKind.LAPSED, "", 820);
			DurableJobsTests.this.scheduler.tick(830);
			assertThat(starts()).hasSize(2);
			report(first.endpointId(), 2_815);
			DurableJobsTests.this.scheduler.tick(2_815);
			assertThat(starts()).hasSize(3);
		}

		@Test
		void terminationsOfUnknownJobsAreNotWritten() {
			TaskRun run = new TaskRun(new TaskId("other", 0, 0, 0), 1);
			assertThat(DurableJobsTests.this.jobs.orphanedRunTerminated(TERMINATION,
					new TerminatedRun(1, run, TerminationKind.DONE), at(100)))
				.isFalse();
		}

		@Test
		void anOrphanedTerminationIsReportedUntilItIsRecorded() {
			DurableJobsTests.this.recoveryInProgress = true;
			addTermination("a", new TaskRun(new TaskId("other", 0, 0, 0), 1), TerminationKind.DONE, "");
			report("a", 50);
			report("a", 100);
			report("a", 600);
			assertThat(DurableJobsTests.this.actions.orphanedTerminations()).containsExactly(TERMINATION, TERMINATION);
			DurableJobsTests.this.scheduler.orphanedTerminationRecorded(TERMINATION);
			assertThat(DurableJobsTests.this.scheduler.acknowledgedTerminationNumber("a")).isEqualTo(1);
		}

	}

	@Nested
	class Traits {

		private static final StepTraits GANG = new StepTraits(true, false, false, false);

		private static final StepTraits LONG_RUNNING = new StepTraits(false, true, false, false);

		private static final StepTraits BACKFILL = new StepTraits(false, true, true, false);

		private static final StepTraits SERVING = new StepTraits(false, true, false, true);

		@Test
		void occurrencesRunWhenTheyAreDue() {
			JobSpec timed = new JobSpec("j", "payload", List.of(step(1, 1_000, StepTraits.DEFAULT)), true,
					new JobSchedule(3, EPOCH_MILLIS + 100, 50));
			submitAndStore(timed, 10);
			DurableJobsTests.this.jobs.tick(at(99));
			assertThat(starts()).isEmpty();
			DurableJobsTests.this.jobs.tick(at(100));
			DurableJobsTests.this.scheduler.tick(100);
			assertThat(starts()).hasSize(1);
			DurableJobsTests.this.jobs.tick(at(200));
			DurableJobsTests.this.scheduler.tick(200);
			assertThat(starts()).extracting((start) -> start.run().task().occurrence()).containsExactly(0, 1, 2);
		}

		/**
		 * An owner used to start all occurrences that are due at once, and ran out of
		 * memory, as did each next owner.
		 */
		@Test
		void occurrencesThatAreDueAtOnceStartInPortions() {
			JobSpec overdue = new JobSpec("j", "payload", List.of(step(1, 1_000, StepTraits.DEFAULT)), true,
					new JobSchedule(30_000, 1, 0));
			submitAndStore(overdue, 10);
			assertThat(DurableJobsTests.this.scheduler.load(11).jobCount()).isEqualTo(1_000);
			assertThat(starts()).isNotEmpty();
			int startCount = starts().size();
			terminate(start(0), TerminationKind.DONE, "", 50);
			DurableJobsTests.this.jobs.tick(at(60));
			assertThat(DurableJobsTests.this.scheduler.load(61).jobCount()).isEqualTo(1_000);
			assertThat(starts()).hasSizeGreaterThan(startCount);
		}

		@Test
		void aTimedJobCompletesWithItsLastOccurrence() {
			JobSpec timed = new JobSpec("j", "payload", List.of(step(1, 1_000, StepTraits.DEFAULT)), true,
					new JobSchedule(2, EPOCH_MILLIS + 1, 1));
			submitAndStore(timed, 10);
			DurableJobsTests.this.scheduler.tick(10);
			terminate(start(1), TerminationKind.DONE, "", 50);
			confirmWrites(60);
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.RUNNING);
			terminate(start(0), TerminationKind.DONE, "", 70);
			confirmWrites(80);
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.COMPLETED);
		}

		@ParameterizedTest
		@EnumSource(value = TerminationKind.class, names = { "DONE", "FAILED", "STOPPED", "LAPSED" })
		void longRunningTasksRestartAfterAnyTermination(TerminationKind kind) {
			submitAndStore(job(step(1, 1_000, LONG_RUNNING)), 10);
			terminate(start(0), kind, "", 50);
			terminate(start(1), kind, "", 90);
			terminate(start(2), kind, "", 130);
			assertThat(starts()).hasSize(4);
		}

		@Test
		void aGangStartsOnlyIfAllMembersFit() {
			submitAndStore(job(step(3, 60_000, GANG)), 10);
			assertThat(starts()).isEmpty();
			assertThat(DurableJobsTests.this.scheduler.load(11).freeMillicores()).isEqualTo(128_000);
		}

		@Test
		void aGangRestartsWithOneRunNumber() {
			submitAndStore(job(step(2, 60_000, GANG)), 10);
			assertThat(starts()).hasSize(2);
			terminate(start(0), TerminationKind.FAILED, "", 50);
			assertThat(DurableJobsTests.this.actions.stops()).containsExactly(start(1).run());
			assertThat(starts()).hasSize(2);
			terminate(start(1), TerminationKind.BROKEN, "", 60);
			assertThat(starts().subList(2, 4)).extracting((start) -> start.run().number()).containsOnly(2);
		}

		@Test
		void oneMemberReportedAsDoneCompletesTheGang() {
			submitAndStore(job(step(2, 60_000, GANG)), 10);
			terminate(start(0), TerminationKind.DONE, "", 50);
			confirmWrites(60);
			assertThat(DurableJobsTests.this.jobs.status("j")).contains(JobStatus.COMPLETED);
		}

		@Test
		void backfillReservesNoProcessorAndAvoidsServingEndpoints() {
			submitAndStore(job(step(1, 64_000, SERVING), step(2, 64_000, BACKFILL)), 10);
			String serving = start(0).endpointId();
			assertThat(starts()).hasSize(3);
			assertThat(starts().subList(1, 3)).extracting(RecordedActions.Start::endpointId).doesNotContain(serving);
		}

	}

	private final class RecordedJobActions implements DurableJobActions {

		private final Map<String, Long> writes = new HashMap<>();

		private final List<JobOutcome> answers = new ArrayList<>();

		private final List<String> answeredCancellations = new ArrayList<>();

		private final Map<String, Long> earlyCancellations = new HashMap<>();

		private final List<TerminationId> storedTerminations = new ArrayList<>();

		@Override
		public void writeDefinition(String pool, DurableJob job) {
		}

		@Override
		public void writeProgress(String pool, String jobId, long revision) {
			this.writes.put(jobId, revision);
		}

		@Override
		public void terminationStored(TerminationId termination) {
			this.storedTerminations.add(termination);
			DurableJobsTests.this.scheduler.terminationStored(termination);
		}

		@Override
		public void reserveRunNumbers(String pool, int rangeCount) {
			DurableJobsTests.this.jobs.runNumbersStored(pool, rangeCount);
		}

		@Override
		public void remove(String pool, String jobId, boolean progressToo) {
		}

		@Override
		public void answer(JobOrigin origin, String jobId, JobOutcome outcome) {
			this.answers.add(outcome);
		}

		@Override
		public void writeEarlyCancellation(String pool, String jobId, long cancelledEpochMillis) {
			this.earlyCancellations.put(jobId, cancelledEpochMillis);
		}

		@Override
		public void removeEarlyCancellation(String pool, String jobId) {
			this.earlyCancellations.remove(jobId);
		}

		@Override
		public void answerCancellation(String jobId) {
			this.answeredCancellations.add(jobId);
		}

	}

}
