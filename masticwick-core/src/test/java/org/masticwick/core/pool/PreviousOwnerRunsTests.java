package org.masticwick.core.pool;

import java.util.Arrays;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.junit.jupiter.api.Test;

import org.masticwick.core.process.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a new owner starts no job that may have a run of the previous owner.
 */
class PreviousOwnerRunsTests {

	private static final String POOL = "domain";

	private static final long ASSUMED_MILLIS = 1_000;

	private static final long LEASE_MILLIS = PoolSettings.defaults().leaseMaxMillis();

	private static final JobOrigin ORIGIN = new JobOrigin("host-1", 1);

	private static final RunningTask PREVIOUS_RUN = new RunningTask(new TaskRun(new TaskId("j1", 0, 0, 0), 1), 50);

	private final RecordedActions actions = new RecordedActions();

	private final PoolScheduler scheduler = new PoolScheduler(PoolSettings.defaults(), this.actions);

	@BeforeEach
	void assumePool() {
		this.scheduler.poolAssumed(POOL, ASSUMED_MILLIS);
		List.of("a", "b").forEach((id) -> this.scheduler.endpointListed(entry(id), ASSUMED_MILLIS));
	}

	private static EndpointEntry entry(String id) {
		return new EndpointEntry(id, "service", new HostAddress("10.0.0.1", 80), POOL, true,
				new Resources(1_000, 1_000, 0), Set.of(), 1);
	}

	private static JobSpec job(String id) {
		StepSpec step = new StepSpec(1, new Resources(1_000, 1, 0), 100, List.of(), "", "", 0);
		return new JobSpec(id, "payload", List.of(step));
	}

	private void report(String id, long nowMillis, RunningTask... runningTasks) {
		this.scheduler.endpointReported(id, new EndpointReport(1, nowMillis, Arrays.asList(runningTasks), List.of()),
				nowMillis - 1, nowMillis);
	}

	/**
	 * Submits a job of a caller.
	 * @param id the id of the job
	 * @param waitedMillis how long the caller has waited, in milliseconds
	 * @param budgetMillis how long the caller goes on waiting, in milliseconds
	 * @param nowMillis the time in milliseconds
	 */
	private void submit(String id, long waitedMillis, long budgetMillis, long nowMillis) {
		this.scheduler.submit(job(id), terms(waitedMillis, budgetMillis), ORIGIN, nowMillis);
	}

	private static JobTerms terms(long waitedMillis, long budgetMillis) {
		return new JobTerms("queue", "service", 0, 2, 20, 60, budgetMillis, 3, waitedMillis);
	}

	private void terminate(String id, long nowMillis) {
		TerminatedRun done = new TerminatedRun(1, PREVIOUS_RUN.run(), TerminationKind.DONE);
		this.scheduler.endpointReported(id, new EndpointReport(1, nowMillis, List.of(), List.of(done)), nowMillis - 1,
				nowMillis);
	}

	private List<String> startedJobIds() {
		return this.actions.starts().stream().map((start) -> start.run().task().jobId()).toList();
	}

	@Nested
	class OrphanedRuns {

		/** The job used to start beside its run that was being stopped. */
		@Test
		void keepTheirJobFromStartingOnAnotherEndpoint() {
			report("a", ASSUMED_MILLIS + 5, PREVIOUS_RUN);
			report("b", ASSUMED_MILLIS + 5);
			submit("j1", 300, 5_000, ASSUMED_MILLIS + 10);
			submit("j2", 0, 5_000, ASSUMED_MILLIS + 10);
			assertThat(startedJobIds()).containsExactly("j2");
			report("a", ASSUMED_MILLIS + 80);
			assertThat(startedJobIds()).containsExactly("j2", "j1");
		}

		@Test
		void keepTheirJobFromStartingNoLongerThanTheirLease() {
			report("a", ASSUMED_MILLIS + 5, PREVIOUS_RUN);
			submit("j1", 300, 5_000, ASSUMED_MILLIS + 10);
			report("b", ASSUMED_MILLIS + 4 + LEASE_MILLIS);
			assertThat(startedJobIds()).isEmpty();
			report("b", ASSUMED_MILLIS + 5 + LEASE_MILLIS);
			assertThat(startedJobIds()).containsExactly("j1");
		}

		/**
		 * The lease used to be extended while durable jobs were read and reports were
		 * lost.
		 */
		@Test
		void keepTheirJobFromStartingWhileTheirLeaseIsExtended() {
			report("a", ASSUMED_MILLIS + 5, PREVIOUS_RUN);
			submit("j1", 300, 5_000, ASSUMED_MILLIS + 10);
			PreviousOwnerRunsTests.this.scheduler.leaseExtended("a", ASSUMED_MILLIS + 500);
			report("b", ASSUMED_MILLIS + 499 + LEASE_MILLIS);
			assertThat(startedJobIds()).isEmpty();
			report("b", ASSUMED_MILLIS + 500 + LEASE_MILLIS);
			assertThat(startedJobIds()).containsExactly("j1");
		}

	}

	@Nested
	class Handovers {

		private final PoolScheduler previous = new PoolScheduler(PoolSettings.defaults(), new RecordedActions());

		private final JobOrigin copyOrigin = new JobOrigin("host-2", 7);

		private PoolTransfer runAndHandOver() {
			this.previous.endpointListed(entry("a"), 0);
			this.previous.endpointReported("a", new EndpointReport(1, 1, List.of(), List.of()), 0, 1);
			this.previous.submit(job("j1"), terms(0, 5_000), ORIGIN, 10);
			return this.previous.transfer(ASSUMED_MILLIS - 50);
		}

		private void submitCopy() {
			PreviousOwnerRunsTests.this.scheduler.submit(job("j1"), terms(5, 5_000), this.copyOrigin,
					ASSUMED_MILLIS + 6);
		}

		/**
		 * The copy used to start, or the run to be stopped, between the claim of the pool
		 * and the confirmation of the previous owner.
		 */
		@Test
		void letACopyJoinTheRunThatIsHandedOver() {
			PoolTransfer transfer = runAndHandOver();
			PreviousOwnerRunsTests.this.scheduler.awaitTransfer();
			report("a", ASSUMED_MILLIS + 5, PREVIOUS_RUN);
			report("b", ASSUMED_MILLIS + 5);
			submitCopy();
			PreviousOwnerRunsTests.this.scheduler.adopt(transfer, ASSUMED_MILLIS + 20);
			PreviousOwnerRunsTests.this.scheduler.endAwaitedTransfer(ASSUMED_MILLIS + 20);
			assertThat(startedJobIds()).isEmpty();
			assertThat(PreviousOwnerRunsTests.this.actions.stops()).isEmpty();
			terminate("a", ASSUMED_MILLIS + 100);
			assertThat(PreviousOwnerRunsTests.this.actions.answers())
				.extracting((answer) -> answer.origin() + " " + answer.outcome().kind())
				.containsExactly(ORIGIN + " UNCERTAIN", this.copyOrigin + " COMPLETED");
		}

		/**
		 * The end used to be acknowledged as one of an unknown job, and the task to run
		 * again.
		 */
		@Test
		void keepTheEndOfARunThatIsListedBeforeTheConfirmation() {
			PoolTransfer transfer = runAndHandOver();
			PreviousOwnerRunsTests.this.scheduler.awaitTransfer();
			terminate("a", ASSUMED_MILLIS + 5);
			assertThat(PreviousOwnerRunsTests.this.scheduler.acknowledgedTerminationNumber("a")).isZero();
			PreviousOwnerRunsTests.this.scheduler.adopt(transfer, ASSUMED_MILLIS + 20);
			PreviousOwnerRunsTests.this.scheduler.endAwaitedTransfer(ASSUMED_MILLIS + 20);
			assertThat(PreviousOwnerRunsTests.this.actions.answers()).extracting((answer) -> answer.outcome().kind())
				.containsExactly(JobOutcome.Kind.COMPLETED);
		}

		/** The reports were processed one by one, and jobs started in between. */
		@RepeatedTest(20)
		void startNothingBeforeAllDeferredReportsAreProcessed(RepetitionInfo repetition) {
			String otherId = "x" + repetition.getCurrentRepetition();
			PreviousOwnerRunsTests.this.scheduler.endpointListed(entry(otherId), ASSUMED_MILLIS);
			PreviousOwnerRunsTests.this.scheduler.awaitTransfer();
			report("a", ASSUMED_MILLIS + 300);
			report("b", ASSUMED_MILLIS + 300);
			report(otherId, ASSUMED_MILLIS + 300, PREVIOUS_RUN);
			submit("j1", 5, 5_000, ASSUMED_MILLIS + 310);
			PreviousOwnerRunsTests.this.scheduler.endAwaitedTransfer(ASSUMED_MILLIS + 350);
			assertThat(startedJobIds()).isEmpty();
		}

		/** Starts were dated back to the report, and stopped as unanswered at once. */
		@Test
		void doNotStopTheStartsAtTheEndOfTheWaitAsUnanswered() {
			PreviousOwnerRunsTests.this.scheduler.awaitTransfer();
			report("a", ASSUMED_MILLIS + 5);
			report("b", ASSUMED_MILLIS + 5);
			submitCopy();
			PreviousOwnerRunsTests.this.scheduler.endAwaitedTransfer(ASSUMED_MILLIS + 350);
			assertThat(startedJobIds()).containsExactly("j1");
			PreviousOwnerRunsTests.this.scheduler.tick(ASSUMED_MILLIS + 351);
			assertThat(PreviousOwnerRunsTests.this.actions.stops()).isEmpty();
		}

		/** The job of the transfer did not wait for a run that was being stopped here. */
		@Test
		void startNoTransferredJobBesideAnEarlierRunHere() {
			this.previous.endpointListed(entry("a"), 0);
			this.previous.submit(job("j1"), terms(0, 5_000), ORIGIN, 10);
			PoolTransfer transfer = this.previous.transfer(ASSUMED_MILLIS + 850);
			report("a", ASSUMED_MILLIS + 800);
			report("b", ASSUMED_MILLIS + 800);
			PoolScheduler scheduler = PreviousOwnerRunsTests.this.scheduler;
			scheduler.submit(job("j1"), terms(0, 5_000), this.copyOrigin, ASSUMED_MILLIS + 801);
			scheduler.cancel("j1", this.copyOrigin, ASSUMED_MILLIS + 810);
			scheduler.submit(job("j1"), terms(0, 5_000), new JobOrigin("host-3", 9), ASSUMED_MILLIS + 820);
			assertThat(startedJobIds()).containsExactly("j1");
			scheduler.adopt(transfer, ASSUMED_MILLIS + 860);
			assertThat(startedJobIds()).containsExactly("j1");
		}

		@Test
		void letACopyWaitForTheRunsOfAPreviousOwnerThatHasResumed() {
			PreviousOwnerRunsTests.this.scheduler.awaitTransfer();
			report("a", ASSUMED_MILLIS + 5, PREVIOUS_RUN);
			report("b", ASSUMED_MILLIS + 5);
			submitCopy();
			PreviousOwnerRunsTests.this.scheduler.endAwaitedTransfer(ASSUMED_MILLIS + 20);
			assertThat(startedJobIds()).isEmpty();
			assertThat(PreviousOwnerRunsTests.this.actions.stops()).containsExactly(PREVIOUS_RUN.run());
			terminate("a", ASSUMED_MILLIS + 100);
			assertThat(startedJobIds()).containsExactly("j1");
		}

		/** The caller of the skipped copy used to get no answer. */
		@Test
		void answerTheCallerOfAJobThatHasStartedHere() {
			PoolTransfer transfer = runAndHandOver();
			report("a", ASSUMED_MILLIS + 800);
			report("b", ASSUMED_MILLIS + 800);
			PreviousOwnerRunsTests.this.scheduler.submit(job("j1"), terms(0, 5_000), this.copyOrigin,
					ASSUMED_MILLIS + 800);
			PreviousOwnerRunsTests.this.scheduler.adopt(transfer, ASSUMED_MILLIS + 810);
			assertThat(PreviousOwnerRunsTests.this.actions.answers())
				.extracting((answer) -> answer.origin() + " " + answer.outcome().kind())
				.containsExactly(ORIGIN + " UNCERTAIN");
		}

	}

	@Nested
	class EndpointsWithoutReport {

		/**
		 * A copy of the job used to start beside its run on an endpoint not yet heard.
		 */
		@Test
		void delayJobsThatReachedTheirHostBeforeTheTakeover() {
			report("b", ASSUMED_MILLIS + 5);
			submit("j1", 300, 5_000, ASSUMED_MILLIS + 10);
			assertThat(startedJobIds()).isEmpty();
			assertThat(PreviousOwnerRunsTests.this.actions.heldJobs()).containsExactly("j1 endpoints-not-heard");
			report("a", ASSUMED_MILLIS + 15);
			assertThat(startedJobIds()).containsExactly("j1");
		}

		@Test
		void delayJobsUntilTheLongestLeaseOfThePreviousOwnerHasExpired() {
			submit("j1", 300, 5_000, ASSUMED_MILLIS + 10);
			report("b", ASSUMED_MILLIS + LEASE_MILLIS - 1);
			assertThat(startedJobIds()).isEmpty();
			report("b", ASSUMED_MILLIS + LEASE_MILLIS);
			assertThat(startedJobIds()).containsExactly("j1");
		}

		@Test
		void delayJobsOfHostsThatDoNotTellWhenTheyReceivedThem() {
			report("b", ASSUMED_MILLIS + 500);
			submit("j1", JobTerms.UNKNOWN_WAIT, 5_000, ASSUMED_MILLIS + 500);
			assertThat(startedJobIds()).isEmpty();
		}

		@Test
		void doNotDelayLaterJobs() {
			report("b", ASSUMED_MILLIS + 500);
			submit("j1", 0, 5_000, ASSUMED_MILLIS + 500);
			assertThat(startedJobIds()).containsExactly("j1");
		}

		/** A refusal lets the caller's host send the job to another owner. */
		@Test
		void letNoJobBeRefusedThatMayRun() {
			submit("j1", 300, 200, ASSUMED_MILLIS + 10);
			PreviousOwnerRunsTests.this.scheduler.tick(ASSUMED_MILLIS + 300);
			assertThat(PreviousOwnerRunsTests.this.actions.answers()).hasSize(1);
			assertThat(PreviousOwnerRunsTests.this.actions.answers().get(0).outcome().kind())
				.isEqualTo(JobOutcome.Kind.UNCERTAIN);
		}

		@Test
		void letAJobBeRefusedOnceItCertainlyDoesNotRun() {
			submit("j1", 300, 200, ASSUMED_MILLIS + 10);
			report("a", ASSUMED_MILLIS + 15, new RunningTask(new TaskRun(new TaskId("j2", 0, 0, 0), 1), 50));
			report("b", ASSUMED_MILLIS + 15, new RunningTask(new TaskRun(new TaskId("j3", 0, 0, 0), 1), 50));
			PreviousOwnerRunsTests.this.scheduler.tick(ASSUMED_MILLIS + 300);
			assertThat(PreviousOwnerRunsTests.this.actions.answers().get(0).outcome().kind())
				.isEqualTo(JobOutcome.Kind.REFUSED);
		}

	}

}
