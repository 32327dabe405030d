package org.masticwick.core.pool;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for what becomes of the ends of runs and of run numbers when the owner of durable
 * jobs changes: an owner acknowledges only what the next one can read in the log.
 */
class OwnerChangeTests {

	private static final StepTraits GANG = new StepTraits(true, false, false, false);

	private static final TaskId TASK = new TaskId("j", 0, 0, 0);

	private final LoggingOwner.Log log = new LoggingOwner.Log();

	private final ListingEndpoint a = new ListingEndpoint("a", 1);

	private final ListingEndpoint b = new ListingEndpoint("b", 2);

	private final List<ListingEndpoint> endpoints = List.of(this.a, this.b);

	private LoggingOwner newOwner(long nowMillis) {
		LoggingOwner owner = new LoggingOwner(this.log);
		this.endpoints.forEach((endpoint) -> owner.scheduler().endpointListed(endpoint.entry(), nowMillis));
		hearAll(owner, nowMillis);
		return owner;
	}

	private void hearAll(LoggingOwner owner, long nowMillis) {
		this.endpoints.forEach((endpoint) -> owner.hear(endpoint, nowMillis));
	}

	private ListingEndpoint endpoint(RecordedActions.Start start) {
		return start.endpointId().equals("a") ? this.a : this.b;
	}

	private ListingEndpoint otherThan(RecordedActions.Start start) {
		return start.endpointId().equals("a") ? this.b : this.a;
	}

	private static JobSpec job(StepSpec... steps) {
		return new JobSpec("j", "payload", List.of(steps), true, JobSchedule.IMMEDIATE);
	}

	private static StepSpec step(int taskCount, StepTraits traits, Integer... after) {
		return new StepSpec(taskCount, new Resources(1_000, 1, 0), 100, List.of(after), "", "", 0, traits);
	}

	private LoggingOwner submitAndStart(JobSpec job) {
		LoggingOwner owner = newOwner(1);
		owner.submit(job, 10);
		owner.store(10);
		return owner;
	}

	private LoggingOwner nextOwner(long nowMillis) {
		LoggingOwner owner = newOwner(nowMillis);
		owner.read(nowMillis);
		owner.store(nowMillis);
		hearAll(owner, nowMillis + 1);
		owner.resume(nowMillis + 2);
		owner.tick(nowMillis + 2);
		owner.store(nowMillis + 3);
		owner.tick(nowMillis + 3);
		return owner;
	}

	private boolean isStoredAsDone() {
		return this.log.progress("j")
			.occurrences()
			.stream()
			.flatMap((occurrence) -> occurrence.tasks().stream())
			.anyMatch((task) -> task.step() == 0 && task.index() == 0 && task.done());
	}

	/**
	 * An end that is acknowledged but not stored is lost with the owner, and the task
	 * runs again.
	 */
	@Nested
	class Acknowledgements {

		private final JobSpec twoSteps = job(step(1, StepTraits.DEFAULT), step(1, StepTraits.DEFAULT, 0));

		// Two owners gave one number to two runs. The end of the first one made the end
		// of the second one pass for recorded.
		@Test
		void anEndWithTheNumberOfAnEndedRunIsStoredFirst() {
			submitAndStart(this.twoSteps);
			LoggingOwner second = nextOwner(2_100);
			RecordedActions.Start start = second.starts().get(0);
			second.jobs()
				.orphanedRunTerminated(new TerminationId("c", 0, 1),
						new TerminatedRun(1, start.run(), TerminationKind.LAPSED), second.at(2_200));
			second.store(2_210);
			endpoint(start).end(start.run(), TerminationKind.DONE);
			second.hear(endpoint(start), 2_300);
			assertThat(second.acknowledged(endpoint(start))).isZero();
			second.store(2_310);
			assertThat(second.acknowledged(endpoint(start))).isEqualTo(1);
			assertThat(isStoredAsDone()).isTrue();
			assertThat(nextOwner(5_000).starts()).extracting((each) -> each.run().task().step()).containsOnly(1);
		}

		// The owner that was told of the end again answered at once, and was killed
		// before it had stored it.
		@Test
		void anEndThatIsKnownHereButNotStoredIsNotAcknowledgedToAnotherOwner() {
			LoggingOwner owner = submitAndStart(this.twoSteps);
			RecordedActions.Start start = owner.starts().get(0);
			TerminationId end = endpoint(start).end(start.run(), TerminationKind.DONE);
			owner.hear(endpoint(start), 50);
			owner.scheduler().endpointRevoked(start.endpointId(), 60);
			assertThat(owner.jobs().orphanedRunTerminated(end, endpoint(start).lastEnd(), owner.at(70))).isTrue();
			assertThat(owner.storedTerminations()).isEmpty();
			owner.store(80);
			assertThat(owner.storedTerminations()).contains(end);
			assertThat(isStoredAsDone()).isTrue();
		}

		// Of a job that is complete in memory no task can be found; ends of its runs were
		// acknowledged at once, before the log had any of them.
		@Test
		void anEndOfAJobThatIsCompleteButNotStoredIsNotAcknowledged() {
			LoggingOwner owner = submitAndStart(job(step(1, StepTraits.DEFAULT)));
			RecordedActions.Start start = owner.starts().get(0);
			ListingEndpoint other = otherThan(start);
			endpoint(start).end(start.run(), TerminationKind.DONE);
			owner.hear(endpoint(start), 50);
			other.end(new TaskRun(TASK, 2), TerminationKind.DONE);
			owner.hear(other, 60);
			assertThat(owner.acknowledged(other)).isZero();
			owner.finishJobs(70);
			owner.store(80);
			assertThat(owner.acknowledged(other)).isEqualTo(1);
			assertThat(owner.jobs().status("j")).contains(JobStatus.COMPLETED);
		}

	}

	/**
	 * Two runs with one number can't be told apart by their ends.
	 */
	@Nested
	class Numbers {

		private static final int RANGE_LENGTH = 1_000;

		private final JobSpec oneTask = job(step(1, StepTraits.DEFAULT));

		private int onlyStart(LoggingOwner owner) {
			assertThat(owner.starts()).hasSize(1);
			return owner.starts().get(0).run().number();
		}

		// The log has no trace of a run that has not ended, so each owner gave number 1
		// to its own.
		@Test
		void noOwnerGivesANumberThatAPreviousOneMayHaveGiven() {
			assertThat(onlyStart(submitAndStart(this.oneTask))).isEqualTo(1);
			assertThat(onlyStart(nextOwner(3_000))).isEqualTo(RANGE_LENGTH + 1);
			assertThat(onlyStart(nextOwner(6_000))).isEqualTo(2 * RANGE_LENGTH + 1);
		}

		// An owner that is killed before the log has its reservation leaves no trace of
		// the numbers that it would have given.
		@Test
		void nothingStartsBeforeItsNumberIsReserved() {
			submitAndStart(this.oneTask);
			LoggingOwner killed = newOwner(3_000);
			killed.read(3_000);
			killed.resume(3_010);
			killed.tick(3_020);
			assertThat(killed.starts()).isEmpty();
			assertThat(onlyStart(nextOwner(6_000))).isEqualTo(RANGE_LENGTH + 1);
		}

		@Test
		void aJobOfTheNextOwnerStartsWithTheFirstNumber() {
			LoggingOwner second = nextOwner(3_000);
			second.submit(this.oneTask, 3_010);
			second.store(3_020);
			second.tick(3_020);
			assertThat(onlyStart(second)).isEqualTo(1);
		}

		@Test
		void aGangHasOneNumberThatNoPreviousOwnerHasGiven() {
			submitAndStart(job(step(2, GANG)));
			assertThat(nextOwner(3_000).starts()).hasSize(2)
				.extracting((start) -> start.run().number())
				.containsOnly(RANGE_LENGTH + 1);
		}

		// A task that is refused again and again would reach the numbers of the next
		// owner.
		@Test
		void aTaskThatHasUsedItsNumbersWaitsForMore() {
			LoggingOwner owner = submitAndStart(this.oneTask);
			for (int number = 1; number <= RANGE_LENGTH; number++) {
				RecordedActions.Start last = owner.starts().get(owner.starts().size() - 1);
				assertThat(last.run().number()).isEqualTo(number);
				owner.scheduler().startRefused(last.endpointId(), last.run(), StartRefusal.STALE_RUN, 20);
			}
			owner.tick(30);
			assertThat(owner.starts()).hasSize(RANGE_LENGTH);
			owner.store(40);
			owner.tick(40);
			assertThat(owner.starts()).hasSize(RANGE_LENGTH + 1);
			assertThat(onlyStart(nextOwner(3_000))).isEqualTo(2 * RANGE_LENGTH + 1);
		}

		// The end of the first owner's run had the number of the second owner's run,
		// whose
		// endpoint was another's by then: the task was started beside it.
		@Test
		void theEndOfAPreviousOwnersRunDoesNotEndTheWaitForThePresentOne() {
			RecordedActions.Start first = submitAndStart(this.oneTask).starts().get(0);
			LoggingOwner second = nextOwner(3_000);
			RecordedActions.Start present = second.starts().get(0);
			second.scheduler().endpointRevoked(present.endpointId(), 3_100);
			second.jobs()
				.orphanedRunTerminated(new TerminationId("c", 0, 1),
						new TerminatedRun(1, first.run(), TerminationKind.LAPSED), second.at(3_200));
			second.hear(otherThan(present), 3_210);
			second.tick(3_220);
			assertThat(second.starts()).hasSize(1);
		}

	}

	/**
	 * The end of an earlier run is reported while the task runs again.
	 */
	@Nested
	class EarlierRuns {

		// The task was done, but was started once more when its present run ended.
		@ParameterizedTest
		@EnumSource(value = TerminationKind.class, names = { "STOPPED", "LAPSED", "FAILED" })
		void endTheTaskIfTheyAreDone(TerminationKind kind) {
			LoggingOwner owner = submitAndStart(job(step(1, StepTraits.DEFAULT), step(1, StepTraits.DEFAULT, 0)));
			RecordedActions.Start first = owner.starts().get(0);
			owner.scheduler().endpointRevoked(first.endpointId(), 20);
			owner.hear(otherThan(first), 2_100);
			owner.tick(2_110);
			RecordedActions.Start present = owner.starts().get(1);
			owner.jobs()
				.orphanedRunTerminated(new TerminationId(first.endpointId(), 0, 1),
						new TerminatedRun(1, first.run(), TerminationKind.DONE), owner.at(2_120));
			assertThat(owner.actions().stops()).containsExactly(present.run());
			owner.store(2_130);
			endpoint(present).end(present.run(), kind);
			owner.hear(endpoint(present), 2_200);
			owner.tick(2_210);
			assertThat(owner.starts().subList(2, owner.starts().size())).hasSize(1)
				.extracting((start) -> start.run().task().step())
				.containsOnly(1);
		}

	}

	/**
	 * A failed run that is acknowledged counts as an attempt for every later owner.
	 */
	@Nested
	class FailedRuns {

		private final JobSpec oneTask = job(step(1, StepTraits.DEFAULT));

		private void fail(LoggingOwner owner, RecordedActions.Start start, long nowMillis) {
			endpoint(start).end(start.run(), TerminationKind.FAILED);
			owner.hear(endpoint(start), nowMillis);
		}

		private void assertFailed(LoggingOwner owner, long nowMillis) {
			owner.finishJobs(nowMillis);
			owner.store(nowMillis);
			assertThat(owner.jobs().status("j")).contains(JobStatus.FAILED);
		}

		// A failed run that its endpoint's next owner told of too late, when the next run
		// had started, was acknowledged and not counted: the task had one attempt more.
		@Test
		void theFailureOfAnEarlierRunCountsBesideItsPresentRun() {
			LoggingOwner owner = submitAndStart(this.oneTask);
			RecordedActions.Start first = owner.starts().get(0);
			owner.scheduler().endpointRevoked(first.endpointId(), 20);
			owner.hear(otherThan(first), 2_100);
			owner.tick(2_110);
			RecordedActions.Start present = owner.starts().get(1);
			owner.jobs()
				.orphanedRunTerminated(new TerminationId(first.endpointId(), 0, 1),
						new TerminatedRun(1, first.run(), TerminationKind.FAILED), owner.at(2_120));
			fail(owner, present, 2_200);
			assertThat(owner.starts()).hasSize(2);
			assertFailed(owner, 2_210);
		}

		// A failure that the endpoint lists again, as its acknowledgement was lost with
		// the owner, is the same attempt.
		@Test
		void aFailureCountsOnceForAllOwners() {
			LoggingOwner first = submitAndStart(this.oneTask);
			fail(first, first.starts().get(0), 50);
			first.store(60);
			LoggingOwner second = nextOwner(2_100);
			second.finishJobs(2_110);
			assertThat(second.starts()).hasSize(1);
			fail(second, second.starts().get(0), 2_200);
			assertThat(second.starts()).hasSize(1);
			assertFailed(second, 2_210);
		}

		// The attempts of a gang were stored with its first member, and only if a run of
		// that member had ended.
		@Test
		void theFailureOfAGangIsStoredWhicheverMemberHasFailed() {
			LoggingOwner first = submitAndStart(job(step(2, GANG)));
			fail(first, first.starts().get(1), 50);
			first.store(60);
			LoggingOwner second = nextOwner(2_100);
			assertThat(second.starts()).hasSize(2);
			fail(second, second.starts().get(0), 2_200);
			assertThat(second.starts()).hasSize(2);
			assertFailed(second, 2_210);
		}

		// A failed member on an endpoint of another owner was not counted at all.
		@Test
		void theFailureOfAGangMemberAtAnotherOwnerCounts() {
			LoggingOwner owner = submitAndStart(job(step(2, GANG)));
			RecordedActions.Start lost = owner.starts().get(0);
			owner.scheduler().endpointRevoked(lost.endpointId(), 20);
			owner.jobs()
				.orphanedRunTerminated(new TerminationId(lost.endpointId(), 0, 1),
						new TerminatedRun(1, lost.run(), TerminationKind.FAILED), owner.at(30));
			owner.store(40);
			LoggingOwner second = nextOwner(3_000);
			fail(second, second.starts().get(0), 3_100);
			assertThat(second.starts()).hasSize(2);
			assertFailed(second, 3_110);
		}

	}

	/**
	 * An owner that is killed between the append with the last end of a run and that with
	 * the end of the job.
	 */
	@Nested
	class DecidedJobs {

		private void storeAndAcknowledge(LoggingOwner owner, long nowMillis) {
			owner.store(nowMillis);
			OwnerChangeTests.this.endpoints.forEach((endpoint) -> endpoint.discardUpTo(owner.acknowledged(endpoint)));
		}

		private void assertNextOwnerFinishes(JobStatus status) {
			LoggingOwner second = nextOwner(3_000);
			assertThat(second.starts()).isEmpty();
			second.finishJobs(3_100);
			second.store(3_110);
			assertThat(second.jobs().status("j")).contains(status);
		}

		// The job stayed running for good with all its tasks done.
		@Test
		void areCompletedIfAllTasksAreDone() {
			LoggingOwner first = submitAndStart(job(step(2, StepTraits.DEFAULT)));
			first.starts().forEach((start) -> endpoint(start).end(start.run(), TerminationKind.DONE));
			hearAll(first, 50);
			storeAndAcknowledge(first, 60);
			assertNextOwnerFinishes(JobStatus.COMPLETED);
		}

		// The next owner started the task once more.
		@Test
		void haveFailedIfATaskHasNoAttemptLeft() {
			LoggingOwner first = submitAndStart(job(step(1, StepTraits.DEFAULT)));
			for (int attempt = 0; attempt < LoggingOwner.terms().maxAttempts(); attempt++) {
				RecordedActions.Start start = first.starts().get(attempt);
				endpoint(start).end(start.run(), TerminationKind.FAILED);
				first.hear(endpoint(start), 50 + attempt);
			}
			storeAndAcknowledge(first, 60);
			assertNextOwnerFinishes(JobStatus.FAILED);
		}

		@Test
		void haveFailedIfAGangHasNoAttemptLeft() {
			LoggingOwner first = submitAndStart(job(step(2, GANG)));
			for (int attempt = 0; attempt < LoggingOwner.terms().maxAttempts(); attempt++) {
				RecordedActions.Start failed = first.starts().get(2 * attempt + 1);
				RecordedActions.Start other = first.starts().get(2 * attempt);
				endpoint(failed).end(failed.run(), TerminationKind.FAILED);
				endpoint(other).end(other.run(), TerminationKind.BROKEN);
				hearAll(first, 50 + attempt);
				hearAll(first, 55 + attempt);
			}
			storeAndAcknowledge(first, 70);
			assertNextOwnerFinishes(JobStatus.FAILED);
		}

		@Test
		void goOnIfATaskIsLongRunning() {
			LoggingOwner first = submitAndStart(job(step(1, new StepTraits(false, true, false, false))));
			for (int run = 0; run < LoggingOwner.terms().maxAttempts(); run++) {
				RecordedActions.Start start = first.starts().get(run);
				endpoint(start).end(start.run(), TerminationKind.FAILED);
				first.hear(endpoint(start), 50 + run);
			}
			storeAndAcknowledge(first, 60);
			assertThat(nextOwner(3_000).starts()).hasSize(1);
		}

	}

	/**
	 * The next owner's clock is behind, so that an occurrence which the previous owner
	 * has started is not due yet.
	 */
	@Nested
	class Occurrences {

		private static final long DUE_MILLIS = 2_000;

		private static final long INTERVAL_MILLIS = 100;

		private static final long CLOCK_OFFSET_MILLIS = 3_000;

		private final JobSpec repeated = new JobSpec("j", "payload", List.of(step(1, StepTraits.DEFAULT)), true,
				new JobSchedule(5, LoggingOwner.EPOCH_MILLIS + DUE_MILLIS, INTERVAL_MILLIS));

		private LoggingOwner startTwoOccurrences() {
			LoggingOwner first = submitAndStart(this.repeated);
			hearAll(first, 2_110);
			first.tick(2_110);
			assertThat(first.starts()).extracting((start) -> start.run().task().occurrence()).containsExactly(0, 1);
			return first;
		}

		private LoggingOwner ownerBehind(long nowMillis) {
			LoggingOwner second = new LoggingOwner(OwnerChangeTests.this.log);
			second.clockBehindMillis(CLOCK_OFFSET_MILLIS);
			OwnerChangeTests.this.endpoints
				.forEach((endpoint) -> second.scheduler().endpointListed(endpoint.entry(), nowMillis));
			hearAll(second, nowMillis);
			second.read(nowMillis);
			second.resume(nowMillis);
			second.store(nowMillis);
			return second;
		}

		private List<Integer> startedOccurrences(LoggingOwner owner) {
			return owner.starts().stream().map((start) -> start.run().task().occurrence()).toList();
		}

		// The end was discarded as that of an unknown job, and the occurrence was started
		// again when it was due.
		@Test
		void keepTheEndsOfTheirRuns() {
			RecordedActions.Start second = startTwoOccurrences().starts().get(1);
			LoggingOwner owner = ownerBehind(2_200);
			endpoint(second).end(second.run(), TerminationKind.DONE);
			owner.hear(endpoint(second), 2_210);
			assertThat(owner.acknowledged(endpoint(second))).isZero();
			owner.finishJobs(2_220);
			owner.store(2_220);
			assertThat(owner.acknowledged(endpoint(second))).isEqualTo(1);
			hearAll(owner, 4_900);
			owner.tick(4_900);
			assertThat(owner.starts()).isEmpty();
			hearAll(owner, 5_310);
			owner.tick(5_310);
			assertThat(startedOccurrences(owner)).containsExactlyInAnyOrder(0, 2, 3);
		}

		// The run was stopped as that of an unknown job.
		@Test
		void keepTheirRuns() {
			RecordedActions.Start second = startTwoOccurrences().starts().get(1);
			endpoint(second).run(second.run());
			LoggingOwner owner = ownerBehind(2_200);
			owner.hear(endpoint(second), 2_210);
			assertThat(owner.actions().stops()).isEmpty();
			hearAll(owner, 5_110);
			owner.tick(5_110);
			assertThat(startedOccurrences(owner)).containsExactly(0);
		}

		// A job without a schedule waited until the next owner's clock had reached the
		// time
		// at which the job was accepted.
		@Test
		void areDueAtOnceWithoutASchedule() {
			submitAndStart(job(step(1, StepTraits.DEFAULT)));
			LoggingOwner owner = ownerBehind(2_200);
			hearAll(owner, 2_210);
			owner.tick(2_210);
			assertThat(owner.starts()).hasSize(1);
		}

		@Test
		void keepEndsThatAnotherOwnerForwards() {
			RecordedActions.Start second = startTwoOccurrences().starts().get(1);
			LoggingOwner owner = ownerBehind(2_200);
			TerminationId end = new TerminationId("c", 0, 1);
			assertThat(owner.jobs().isUnopened(second.run().task())).isFalse();
			assertThat(owner.jobs()
				.orphanedRunTerminated(end, new TerminatedRun(1, second.run(), TerminationKind.DONE), owner.at(2_210)))
				.isTrue();
			assertThat(owner.storedTerminations()).isEmpty();
			owner.finishJobs(2_220);
			owner.store(2_220);
			assertThat(owner.storedTerminations()).containsExactly(end);
			assertThat(OwnerChangeTests.this.log.progress("j").occurrences()).hasSize(2);
		}

	}

}
