package org.masticwick.core.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.process.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for tasks that crash the endpoints that start them.
 */
class CrashLoopTests {

	/** Three crashes, and the two further starts that the platform tolerates. */
	private static final long MAX_CRASHES_OF_A_TASK = 5;

	private static final int ENDPOINT_COUNT = 12;

	private static final String DEADLY = "deadly";

	private SimulatedOwner owner = new SimulatedOwner(ENDPOINT_COUNT);

	@BeforeEach
	void crashUnderTheFirstTask() {
		this.owner.endpoints().crashUnder((task) -> task.jobId().equals(DEADLY) && task.index() == 0);
	}

	private static StepSpec step(int taskCount, StepTraits traits) {
		return new StepSpec(taskCount, new Resources(27_000, 1, 0), 60, List.of(), "", "", 0, traits);
	}

	private static JobSpec job(String jobId, int taskCount) {
		return new JobSpec(jobId, "payload", List.of(step(taskCount, StepTraits.DEFAULT)));
	}

	private static JobSpec durableJob(int taskCount, StepTraits traits) {
		return new JobSpec(DEADLY, "payload", List.of(step(taskCount, traits)), true, JobSchedule.IMMEDIATE);
	}

	private void changeOwner(LossHistory knowledge) {
		this.owner = new SimulatedOwner(this.owner.endpoints(), knowledge);
	}

	private Map<TaskId, Long> crashesByTask() {
		return this.owner.endpoints()
			.crashingRuns()
			.stream()
			.collect(Collectors.groupingBy(TaskRun::task, Collectors.counting()));
	}

	private void assertCrashesAreBounded() {
		assertThat(crashesByTask().values()).isNotEmpty().allMatch((crashes) -> crashes <= MAX_CRASHES_OF_A_TASK);
	}

	@Nested
	class InteractiveJobs {

		@ParameterizedTest
		@ValueSource(booleans = { false, true })
		void doNotCrashOneEndpointAfterAnother(boolean newIds) {
			if (newIds) {
				CrashLoopTests.this.owner.endpoints().changeIdsAfterCrashes();
			}
			CrashLoopTests.this.owner.submit(job(DEADLY, 6), 60_000);
			CrashLoopTests.this.owner.play(40_000);
			assertCrashesAreBounded();
			assertThat(CrashLoopTests.this.owner.outcomes(DEADLY)).containsExactly(JobOutcome.Kind.FAILED);
		}

		@Test
		void doNotCrashEndpointsThatNeverReturn() {
			CrashLoopTests.this.owner.endpoints().neverRestart();
			CrashLoopTests.this.owner.submit(job(DEADLY, 1), 60_000);
			CrashLoopTests.this.owner.play(40_000);
			assertCrashesAreBounded();
			assertThat(CrashLoopTests.this.owner.outcomes(DEADLY)).containsExactly(JobOutcome.Kind.FAILED);
		}

		/**
		 * The caller of a job that is answered as uncertain submits it again.
		 */
		@Test
		void doNotStartTheCountAnewWhenTheyAreSubmittedAgain() {
			IntStream.range(0, 20).forEach((attempt) -> {
				CrashLoopTests.this.owner.submit(job(DEADLY, 1), 1_500);
				CrashLoopTests.this.owner.play(3_000);
			});
			assertCrashesAreBounded();
			assertThat(CrashLoopTests.this.owner.outcomes(DEADLY)).endsWith(JobOutcome.Kind.FAILED,
					JobOutcome.Kind.FAILED);
		}

	}

	@Nested
	class OwnerChanges {

		@Test
		void keepTheCountInAHandover() {
			CrashLoopTests.this.owner.submit(job(DEADLY, 1), 60_000);
			for (int change = 0; change < 6; change++) {
				CrashLoopTests.this.owner.play(2_000);
				PoolTransfer transfer = CrashLoopTests.this.owner.scheduler()
					.transfer(CrashLoopTests.this.owner.nowMillis());
				changeOwner(new LossHistory());
				CrashLoopTests.this.owner.scheduler().adopt(transfer, CrashLoopTests.this.owner.nowMillis());
			}
			CrashLoopTests.this.owner.play(20_000);
			assertCrashesAreBounded();
		}

		/**
		 * Each owner is killed 1.6 s after it got the job; the next one knows what the
		 * killed one has told its peers.
		 */
		@Test
		void keepTheCountWhenOwnersAreLost() {
			for (int change = 0; change < 12; change++) {
				CrashLoopTests.this.owner.submit(job(DEADLY, 1), 60_000);
				CrashLoopTests.this.owner.play(1_600);
				LossHistory knowledge = new LossHistory();
				CrashLoopTests.this.owner.lossHistory().all().forEach((loss) -> knowledge.add(loss, 0));
				changeOwner(knowledge);
			}
			assertCrashesAreBounded();
		}

	}

	@Nested
	class Handovers {

		private static final long FAILED_MILLIS = 5_000;

		private final RecordedActions actions = new RecordedActions();

		private final LossHistory knowledge = new LossHistory();

		private final PoolScheduler scheduler = new PoolScheduler(PoolSettings.defaults(), this.actions,
				this.knowledge);

		private boolean delayed;

		private void list(String id) {
			this.scheduler.endpointListed(new EndpointEntry(id, "service", new HostAddress("10.0.0.1", id.charAt(0)),
					"domain", true, new Resources(64_000, 1_000, 0), Set.of(), 1), 0);
		}

		private void report(long nowMillis, TerminatedRun... terminatedRuns) {
			List.of("a", "b")
				.forEach(
						(id) -> this.scheduler.endpointReported(id,
								new EndpointReport(1, nowMillis, List.of(),
										id.equals("a") ? List.of(terminatedRuns) : List.of()),
								nowMillis - 1, nowMillis));
		}

		private TaskLoss unexplainedLoss(TaskId task, int number) {
			return new TaskLoss(new TaskRun(task, number),
					new EndpointIncarnation("lost-" + number, new HostAddress("10.0.0.2", number), 1),
					TaskLoss.State.UNEXPLAINED, false);
		}

		/**
		 * A task that waits by what the new owner knows, although it was running at the
		 * previous one, was queued twice after its run had failed.
		 */
		@Test
		void startATaskOnceAfterItsRunHasFailed() {
			TaskId task = new TaskId("job", 0, 0, 0);
			this.scheduler.startDelay((nowMillis) -> this.delayed);
			list("a");
			list("b");
			report(1);
			this.scheduler.adopt(new PoolTransfer(List.of(),
					List.of(new JobTransfer(job("job", 1), SimulatedOwner.terms(60_000), SimulatedOwner.ORIGIN, 0,
							List.of(new TaskTransfer(task, false, 3, 0, "a", 0, true)))),
					List.of(unexplainedLoss(task, 1), unexplainedLoss(task, 2))), 2);
			this.delayed = true;
			report(FAILED_MILLIS, new TerminatedRun(1, new TaskRun(task, 3), TerminationKind.FAILED));
			this.scheduler.tick(FAILED_MILLIS + 10);
			this.delayed = false;
			report(FAILED_MILLIS + 20);
			assertThat(this.actions.starts()).extracting((start) -> start.run().number()).containsExactly(4);
		}

	}

	@Nested
	class StoredJobs {

		@Test
		void failInsteadOfCrashingOneEndpointAfterAnother() {
			CrashLoopTests.this.owner.submitDurable(durableJob(6, StepTraits.DEFAULT));
			CrashLoopTests.this.owner.play(40_000);
			assertCrashesAreBounded();
			assertThat(CrashLoopTests.this.owner.durableJobs().status(DEADLY)).contains(JobStatus.FAILED);
		}

		/**
		 * All hosts are lost together, so that the next owner knows only what the log
		 * has.
		 */
		@Test
		void keepTheCountInTheLog() {
			JobSpec spec = durableJob(1, StepTraits.DEFAULT);
			CrashLoopTests.this.owner.submitDurable(spec);
			for (int change = 0; change < 8; change++) {
				CrashLoopTests.this.owner.play(1_600);
				DurableProgress progress = CrashLoopTests.this.owner.durableJobs().progress(DEADLY).orElseThrow();
				changeOwner(new LossHistory());
				CrashLoopTests.this.owner.recover(spec, progress);
			}
			CrashLoopTests.this.owner.play(20_000);
			assertCrashesAreBounded();
			assertThat(CrashLoopTests.this.owner.durableJobs().status(DEADLY)).contains(JobStatus.FAILED);
		}

		@Test
		void failAsAGangToo() {
			CrashLoopTests.this.owner.endpoints().runMillis(10_000);
			CrashLoopTests.this.owner.submitDurable(durableJob(4, new StepTraits(true, false, false, false)));
			CrashLoopTests.this.owner.play(60_000);
			assertCrashesAreBounded();
			assertThat(CrashLoopTests.this.owner.durableJobs().status(DEADLY)).contains(JobStatus.FAILED);
		}

		@Test
		void failIfALongRunningTaskCrashesItsEndpointsAtTheStart() {
			CrashLoopTests.this.owner.submitDurable(durableJob(1, new StepTraits(false, true, false, true)));
			CrashLoopTests.this.owner.play(40_000);
			assertCrashesAreBounded();
			assertThat(CrashLoopTests.this.owner.durableJobs().status(DEADLY)).contains(JobStatus.FAILED);
		}

	}

	@Nested
	class TasksThatAreNotToBlame {

		private static final int JOB_COUNT = 40;

		@Test
		void completeBesideThoseThatCrashEndpoints() {
			List<String> jobIds = IntStream.range(0, JOB_COUNT).mapToObj((index) -> "job-" + index).toList();
			CrashLoopTests.this.owner.submit(job(DEADLY, 1), 60_000);
			jobIds.forEach((jobId) -> {
				CrashLoopTests.this.owner.submit(job(jobId, 2), 20_000);
				CrashLoopTests.this.owner.play(100);
			});
			CrashLoopTests.this.owner.play(20_000);
			Map<String, List<JobOutcome.Kind>> outcomes = new HashMap<>();
			jobIds.forEach((jobId) -> outcomes.put(jobId, CrashLoopTests.this.owner.outcomes(jobId)));
			assertThat(outcomes.values()).allMatch(List.of(JobOutcome.Kind.COMPLETED)::equals);
		}

		@Test
		void areNotCountedWhenTheirEndpointsAreOnlyUnreachable() {
			CrashLoopTests.this.owner.endpoints().runMillis(2_500);
			CrashLoopTests.this.owner.submit(job("long", 1), 120_000);
			for (int cut = 0; cut < 8; cut++) {
				CrashLoopTests.this.owner.play(500);
				String endpointId = lastStart().endpointId();
				CrashLoopTests.this.owner.endpoints().cut(endpointId);
				CrashLoopTests.this.owner.play(1_500);
				CrashLoopTests.this.owner.endpoints().reconnect(endpointId);
			}
			CrashLoopTests.this.owner.play(10_000);
			assertThat(CrashLoopTests.this.owner.outcomes("long")).containsExactly(JobOutcome.Kind.COMPLETED);
		}

		@Test
		void mayOutlastAnyNumberOfCrashesIfTheyRunLong() {
			CrashLoopTests.this.owner.endpoints().crashUnder((task) -> false);
			CrashLoopTests.this.owner.endpoints().runMillis(Long.MAX_VALUE / 2);
			CrashLoopTests.this.owner.submitDurable(durableJob(1, new StepTraits(false, true, false, true)));
			for (int crash = 0; crash < 8; crash++) {
				CrashLoopTests.this.owner.play(15_000);
				CrashLoopTests.this.owner.endpoints().crash(lastStart().endpointId());
			}
			CrashLoopTests.this.owner.play(15_000);
			assertThat(CrashLoopTests.this.owner.durableJobs().status(DEADLY)).contains(JobStatus.RUNNING);
			assertThat(CrashLoopTests.this.owner.actions().starts()).hasSizeGreaterThan(8);
		}

		private RecordedActions.Start lastStart() {
			List<RecordedActions.Start> starts = CrashLoopTests.this.owner.actions().starts();
			return starts.get(starts.size() - 1);
		}

	}

	@Nested
	class SuspectedTasks {

		/**
		 * Under load each endpoint has two runs, so that the first two crashes hit others
		 * too.
		 */
		@Test
		void runAloneAfterTwoLosses() {
			CrashLoopTests.this.owner.submit(job(DEADLY, 1), 60_000);
			for (int index = 0; index < 600; index++) {
				CrashLoopTests.this.owner.submit(job("load-" + index, 8), 20_000);
				CrashLoopTests.this.owner.play(20);
			}
			CrashLoopTests.this.owner.play(10_000);
			List<LostRun> lostRuns = CrashLoopTests.this.owner.actions()
				.lostRuns()
				.stream()
				.filter((lostRun) -> lostRun.run().task().jobId().equals(DEADLY))
				.toList();
			assertThat(lostRuns).hasSizeBetween(2, 4);
			assertThat(lostRuns.subList(2, lostRuns.size())).allMatch((lostRun) -> lostRun.otherRunCount() == 0);
			assertCrashesAreBounded();
		}

		/**
		 * Tasks that are lost together are restarted together, and best fit would place
		 * them on one endpoint again.
		 */
		@Test
		void areNotRestartedOnTheSameEndpoint() {
			CrashLoopTests.this.owner.endpoints().runMillis(2_000);
			CrashLoopTests.this.owner.endpoints().crashUnder((task) -> false);
			CrashLoopTests.this.owner.submit(job("pair", 2), 60_000);
			CrashLoopTests.this.owner.play(100);
			List<RecordedActions.Start> starts = CrashLoopTests.this.owner.actions().starts();
			assertThat(starts).extracting(RecordedActions.Start::endpointId).containsOnly(starts.get(0).endpointId());
			CrashLoopTests.this.owner.endpoints().crash(starts.get(0).endpointId());
			CrashLoopTests.this.owner.play(1_500);
			assertThat(starts.subList(2, 4)).extracting(RecordedActions.Start::endpointId).doesNotHaveDuplicates();
		}

	}

}
