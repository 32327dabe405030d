package org.masticwick.core.request;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.connection.LoadReport;
import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.version.EndpointSpec;
import org.masticwick.core.version.Rules;
import org.masticwick.core.version.SiteVersion;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Scheduler}.
 */
class SchedulerTests {

	@Nested
	class Starting {

		@ParameterizedTest
		@ValueSource(strings = { "random", "round-robin", "least-of-two", "least-of-two-peers", "slot-share", "owner" })
		void fillsAllSlots(String placement) {
			Scheduler scheduler = Fixtures.scheduler(SchedulerSettings.defaults(),
					Fixtures.version(1, Map.of("dispatch/placement", placement),
							Fixtures.endpoint(1, Fixtures.DOMAIN, 2), Fixtures.endpoint(2, Fixtures.DOMAIN, 3)));
			scheduler.admit(Fixtures.submission("t", 9), 0);
			assertThat(scheduler.schedule(0).starts()).hasSize(5)
				.doesNotHaveDuplicates()
				.allSatisfy((start) -> assertThat(start.leaseMillis()).isEqualTo(5_000));
			assertThat(scheduler.schedule(1).starts()).isEmpty();
		}

		@ParameterizedTest
		@CsvSource({ "1, 1", "1, 2", "2, 1", "2, 2", "1, 3", "2, 3" })
		void startsOnIdleEndpointRegardlessOfOwner(int self, int slotCount) {
			Scheduler scheduler = Schedulers.create(SchedulerSettings.defaults(), Fixtures.DOMAIN,
					Fixtures.host(Fixtures.DOMAIN, self), new Random(7));
			scheduler.updateVersion(Fixtures.version(1, Map.of("dispatch/placement", "owner"),
					Fixtures.endpoint(1, Fixtures.DOMAIN, slotCount)), 0);
			scheduler.recordPeerLoad(Fixtures.host(Fixtures.DOMAIN, 3 - self), LoadReport.EMPTY, 0);
			scheduler.admit(Fixtures.submission("t", 9), 0);
			assertThat(scheduler.schedule(0).starts()).isNotEmpty();
		}

		@ParameterizedTest
		@CsvSource({ "1, 1", "2, 1", "1, 2", "2, 2", "1, 8", "2, 8" })
		void usesAllIdleSlotsWithinTwoSecondsRegardlessOfOwner(int self, int slotCount) {
			Scheduler scheduler = Schedulers.create(SchedulerSettings.defaults(), Fixtures.DOMAIN,
					Fixtures.host(Fixtures.DOMAIN, self), new Random(7));
			scheduler.updateVersion(Fixtures.version(1, Map.of("dispatch/placement", "owner"),
					Fixtures.endpoint(1, Fixtures.DOMAIN, slotCount)), 0);
			scheduler.recordPeerLoad(Fixtures.host(Fixtures.DOMAIN, 3 - self), LoadReport.EMPTY, 0);
			scheduler.admit(Fixtures.submission("t", 20), 0);
			int startCount = IntStream.rangeClosed(0, 100)
				.map((pass) -> scheduler.schedule(pass * 20_000_000L).starts().size())
				.sum();
			assertThat(startCount).isEqualTo(slotCount);
		}

		@Test
		void startsUrgentJobsFirstWithoutStarvingRegularOnes() {
			Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 20));
			scheduler.admit(Fixtures.submission("regular", 20), 0);
			scheduler.admit(Fixtures.submission("urgent", "team", true, 40), 1);
			List<String> tickets = scheduler.schedule(2)
				.starts()
				.stream()
				.map((start) -> start.task().ticket())
				.toList();
			assertThat(tickets.subList(0, 16)).containsOnly("urgent");
			assertThat(tickets).filteredOn("regular"::equals).hasSize(1);
		}

		@Test
		void startsShortJobsFirst() {
			Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 1));
			scheduler.admit(Fixtures.submission("long", 50), 0);
			scheduler.admit(Fixtures.submission("short", 1), 100 * Fixtures.NANOS_PER_MILLI);
			assertThat(scheduler.schedule(100 * Fixtures.NANOS_PER_MILLI).starts()).singleElement()
				.satisfies((start) -> assertThat(start.task().ticket()).isEqualTo("short"));
		}

		@Test
		void startsLongJobBeforeMuchLaterShortOne() {
			Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 1));
			scheduler.admit(Fixtures.submission("long", 50), 0);
			scheduler.admit(Fixtures.submission("short", 1), 11_000 * Fixtures.NANOS_PER_MILLI);
			assertThat(scheduler.schedule(11_000 * Fixtures.NANOS_PER_MILLI).starts()).singleElement()
				.satisfies((start) -> assertThat(start.task().ticket()).isEqualTo("long"));
		}

		@Test
		void placesTasksOnFittingEndpoints() {
			Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 1), new EndpointSpec(
					Fixtures.address(2), Fixtures.DOMAIN, "r1", Fixtures.SERVICE, 9, 64, 32, 4_000, 0));
			JobRequest request = new JobRequest(Fixtures.SERVICE, "team", false, false, 1,
					List.of(Fixtures.task("width", 2_000, 0), Fixtures.task("width", 0, 1)));
			scheduler.admit(new JobSubmission("t", request, Fixtures.FAR_DEADLINE_NANOS), 0);
			assertThat(scheduler.schedule(0).starts()).extracting((start) -> start.endpoint().address())
				.containsExactly(Fixtures.address(2), Fixtures.address(1));
		}

		@Test
		void boundsLeaseByDeadline() {
			Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 1));
			scheduler.admit(new JobSubmission("t", Fixtures.request("team", false, 1), 900 * Fixtures.NANOS_PER_MILLI),
					0);
			assertThat(scheduler.schedule(0).starts()).singleElement()
				.satisfies((start) -> assertThat(start.leaseMillis()).isEqualTo(900));
		}

		@Test
		void dropsAllQueuedTasksOfJobPastDeadline() {
			Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 1));
			scheduler.admit(new JobSubmission("t", Fixtures.request("team", false, 3), 900 * Fixtures.NANOS_PER_MILLI),
					0);
			SchedulingDecisions firstPass = scheduler.schedule(0);
			assertThat(firstPass.starts()).hasSize(1);
			assertThat(firstPass.nextPassNanos()).isBetween(1L, 900 * Fixtures.NANOS_PER_MILLI);
			SchedulingDecisions passAtDeadline = scheduler.schedule(900 * Fixtures.NANOS_PER_MILLI);
			assertThat(passAtDeadline.starts()).isEmpty();
			assertThat(passAtDeadline.droppedTasks()).extracting(DroppedTask::task)
				.containsExactly(new TaskId("t", 1), new TaskId("t", 2));
			assertThat(passAtDeadline.droppedTasks()).extracting(DroppedTask::code)
				.containsOnly(ErrorCode.DEADLINE_PASSED);
			assertThat(passAtDeadline.nextPassNanos()).isEqualTo(SchedulingDecisions.NEVER);
		}

		@Test
		void spillsOnlyWhenExpectedWaitExceedsLimit() {
			Scheduler scheduler = Fixtures.scheduler(SchedulerSettings.defaults(),
					Fixtures.version(1, Map.of("dispatch/spill-wait-ms", "500"),
							Fixtures.endpoint(1, Fixtures.DOMAIN, 1), Fixtures.endpoint(2, Fixtures.OTHER_DOMAIN, 8)));
			scheduler.recordPeerLoad(Fixtures.host(Fixtures.OTHER_DOMAIN, 9), LoadReport.EMPTY, 0);
			scheduler.admit(Fixtures.submission("t1", 3), 0);
			assertThat(scheduler.schedule(0).starts()).hasSize(1);
			scheduler.admit(Fixtures.submission("t2", 3), 0);
			assertThat(scheduler.schedule(0).starts()).hasSize(3)
				.allSatisfy((start) -> assertThat(start.endpoint().domain()).isEqualTo(Fixtures.OTHER_DOMAIN));
		}

	}

	@Nested
	class RecordingOutcomes {

		@ParameterizedTest
		@CsvSource({ "SUCCEEDED, false", "FAILED, false", "LOST, false", "CANCELLED, false", "REFUSED_FULL, true",
				"REFUSED_LEAVING, true", "REFUSED_NEVER_FITS, true", "NOT_CONNECTED, true" })
		void retriesOnlyTasksNotStarted(StartOutcome.Kind kind, boolean requeued) {
			Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 1),
					Fixtures.endpoint(2, Fixtures.DOMAIN, 1));
			scheduler.admit(Fixtures.submission("t", 1), 0);
			StartCommand start = scheduler.schedule(0).starts().get(0);
			Disposition disposition = scheduler.recordOutcome(start.task(), Fixtures.outcome(start, kind), 1);
			assertThat(disposition).isInstanceOf(requeued ? Disposition.Requeued.class : Disposition.Done.class);
			List<StartCommand> retries = scheduler.schedule(2).starts();
			assertThat(retries).hasSize(requeued ? 1 : 0)
				.allSatisfy((retry) -> assertThat(retry.endpoint()).isNotEqualTo(start.endpoint()));
		}

		@Test
		void abandonsTaskThatNoEndpointCanRun() {
			Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 1));
			scheduler.admit(Fixtures.submission("t", 2), 0);
			StartCommand start = scheduler.schedule(0).starts().get(0);
			Disposition disposition = scheduler.recordOutcome(start.task(),
					Fixtures.outcome(start, StartOutcome.Kind.REFUSED_NEVER_FITS), 1);
			assertThat(disposition).isEqualTo(new Disposition.Abandoned(ErrorCode.NEVER_FITS, 0));
			assertThat(scheduler.schedule(2).droppedTasks())
				.containsExactly(new DroppedTask(new TaskId("t", 1 - start.task().index()), ErrorCode.NEVER_FITS, 0));
		}

		@Test
		void ignoresOutcomeOfTaskNotOutstanding() {
			Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 1));
			StartOutcome outcome = new StartOutcome(Fixtures.address(1), StartOutcome.Kind.REFUSED_FULL, 0);
			assertThat(scheduler.recordOutcome(new TaskId("t", 0), outcome, 0)).isInstanceOf(Disposition.Done.class);
			assertThat(scheduler.schedule(0).starts()).isEmpty();
		}

		@Test
		void delaysRetryOnFullEndpoint() {
			Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 2));
			scheduler.admit(Fixtures.submission("t", 1), 0);
			StartCommand start = scheduler.schedule(0).starts().get(0);
			scheduler.recordOutcome(start.task(), Fixtures.outcome(start, StartOutcome.Kind.REFUSED_FULL), 1);
			assertThat(scheduler.schedule(2).starts()).isEmpty();
			assertThat(scheduler.schedule(1_000 * Fixtures.NANOS_PER_MILLI).starts()).hasSize(1);
		}

	}

	@Nested
	class Leaving {

		@Test
		void startsNothingOnLeavingEndpoint() {
			Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 4),
					Fixtures.endpoint(2, Fixtures.DOMAIN, 4));
			scheduler.updateEndpointState(Fixtures.address(1), EndpointState.LEAVING, 0);
			scheduler.admit(Fixtures.submission("t", 8), 0);
			assertThat(scheduler.schedule(0).starts()).hasSize(4)
				.allSatisfy((start) -> assertThat(start.endpoint().address()).isEqualTo(Fixtures.address(2)));
		}

		@Test
		void prefersRefusalByEndpointOverLaggingHostList() {
			Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 1));
			scheduler.admit(Fixtures.submission("t", 1), 0);
			StartCommand start = scheduler.schedule(0).starts().get(0);
			scheduler.recordOutcome(start.task(), Fixtures.outcome(start, StartOutcome.Kind.REFUSED_LEAVING), 1);
			scheduler.updateEndpointState(Fixtures.address(1), EndpointState.LIVE, 2);
			assertThat(scheduler.schedule(1_000 * Fixtures.NANOS_PER_MILLI).starts()).isEmpty();
			scheduler.updateEndpointState(Fixtures.address(1), EndpointState.LIVE, 11_000 * Fixtures.NANOS_PER_MILLI);
			assertThat(scheduler.schedule(11_000 * Fixtures.NANOS_PER_MILLI).starts()).hasSize(1);
		}

		@Test
		void startsNothingOnWithdrawnEndpoint() {
			Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 4),
					Fixtures.endpoint(2, Fixtures.DOMAIN, 1));
			scheduler.updateVersion(Fixtures.version(2, Map.of(), Fixtures.endpoint(2, Fixtures.DOMAIN, 1)), 0);
			scheduler.updateVersion(Fixtures.version(1, Map.of(), Fixtures.endpoint(1, Fixtures.DOMAIN, 1)), 0);
			scheduler.admit(Fixtures.submission("t", 8), 0);
			assertThat(scheduler.schedule(0).starts()).singleElement()
				.satisfies((start) -> assertThat(start.endpoint().address()).isEqualTo(Fixtures.address(2)));
		}

		@Test
		void countsFromZeroWhenServiceIsDeclaredAgain() {
			Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 1));
			scheduler.admit(Fixtures.submission("t", 1), 0);
			StartCommand start = scheduler.schedule(0).starts().get(0);
			scheduler.updateVersion(new SiteVersion(2, Map.of(), Map.of(), Rules.NONE), 1);
			scheduler.updateVersion(Fixtures.version(3, Map.of(), Fixtures.endpoint(1, Fixtures.DOMAIN, 1)), 2);
			assertThat(
					scheduler.recordOutcome(start.task(), Fixtures.outcome(start, StartOutcome.Kind.REFUSED_FULL), 3))
				.isEqualTo(new Disposition.Abandoned(ErrorCode.UNKNOWN_SERVICE, 0));
			assertThat(scheduler.loadReport(3).services().get(Fixtures.SERVICE).runningCount()).isZero();
		}

		@Test
		void dropsJobsOfWithdrawnService() {
			Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 1));
			scheduler.admit(Fixtures.submission("t", 2), 0);
			StartCommand start = scheduler.schedule(0).starts().get(0);
			scheduler.updateVersion(new SiteVersion(2, Map.of(), Map.of(), Rules.NONE), 1);
			assertThat(scheduler.schedule(2).droppedTasks()).extracting(DroppedTask::code)
				.containsExactly(ErrorCode.UNKNOWN_SERVICE);
			assertThat(scheduler.recordOutcome(start.task(), Fixtures.outcome(start, StartOutcome.Kind.SUCCEEDED), 3))
				.isInstanceOf(Disposition.Done.class);
			assertThat(scheduler.snapshot(3).endpoints()).isEmpty();
		}

	}

	@Nested
	class Cancelling {

		@Test
		void removesQueuedTasks() {
			Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 1));
			scheduler.admit(Fixtures.submission("t", 3), 0);
			StartCommand start = scheduler.schedule(0).starts().get(0);
			assertThat(scheduler.cancel("t", 1)).hasSize(2).doesNotContain(start.task());
			assertThat(scheduler.cancel("t", 1)).isEmpty();
			assertThat(
					scheduler.recordOutcome(start.task(), Fixtures.outcome(start, StartOutcome.Kind.REFUSED_FULL), 2))
				.isEqualTo(new Disposition.Abandoned(ErrorCode.CANCELLED_NOT_RUN, 0));
			assertThat(scheduler.schedule(1_000 * Fixtures.NANOS_PER_MILLI))
				.isEqualTo(new SchedulingDecisions(List.of(), List.of(), SchedulingDecisions.NEVER));
			assertThat(scheduler.loadReport(2).outstanding()).isEmpty();
		}

	}

}
