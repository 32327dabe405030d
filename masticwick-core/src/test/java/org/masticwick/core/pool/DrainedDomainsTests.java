package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
 * Tests for drained failure domains in the {@link PoolScheduler}. Endpoint {@code a} is
 * in the domain that tests drain, and endpoint {@code b} in another one.
 */
class DrainedDomainsTests {

	private static final JobOrigin ORIGIN = new JobOrigin("host-1", 1);

	private static final long EPOCH_MILLIS = 1_700_000_000_000L;

	private static final String DRAINED = "d1";

	private static final String OTHER = "d2";

	private final RecordedActions actions = new RecordedActions();

	private final PoolScheduler scheduler = new PoolScheduler(PoolSettings.defaults(), this.actions);

	private final Set<RecordedActions.Start> terminatedStarts = new HashSet<>();

	private final Map<String, Long> terminationCounts = new HashMap<>();

	@BeforeEach
	void listEndpoints() {
		list("a", DRAINED);
		list("b", OTHER);
	}

	private void list(String id, String domain) {
		this.scheduler.endpointListed(new EndpointEntry(id, "service", new HostAddress("10.0.0.1", 80), domain, true,
				new Resources(16_000, 1_000, 0), Set.of(), 0), 0);
		report(id, List.of(), List.of(), 1);
	}

	private void report(String id, List<RunningTask> running, List<TerminatedRun> terminated, long nowMillis) {
		this.scheduler.endpointReported(id, new EndpointReport(0, nowMillis, running, terminated), nowMillis - 1,
				nowMillis);
	}

	private void terminate(RecordedActions.Start start, TerminationKind kind, long nowMillis) {
		this.terminatedStarts.add(start);
		List<RunningTask> others = this.actions.starts()
			.stream()
			.filter((other) -> other.endpointId().equals(start.endpointId()) && !this.terminatedStarts.contains(other))
			.map((other) -> new RunningTask(other.run(), 50))
			.toList();
		long number = this.terminationCounts.merge(start.endpointId(), 1L, Long::sum);
		report(start.endpointId(), others, List.of(new TerminatedRun(number, start.run(), kind)), nowMillis);
	}

	private void drain(long nowMillis, String... domains) {
		this.scheduler.drainedDomains(Set.of(domains), nowMillis);
	}

	private static StepSpec step(int taskCount, boolean gang, Integer... predecessors) {
		return new StepSpec(taskCount, new Resources(8_000, 1, 0), 100, List.of(predecessors), "", "", 0,
				new StepTraits(gang, false, false, false));
	}

	private static JobSpec job(String id, StepSpec... steps) {
		return new JobSpec(id, "payload", List.of(steps));
	}

	private static JobTerms terms() {
		return new JobTerms("queue", "service", 0, 4, 16, 60, 5_000, 3);
	}

	private void submit(JobSpec job, long nowMillis) {
		this.scheduler.submit(job, terms(), ORIGIN, nowMillis);
	}

	private List<String> startedOn() {
		return this.actions.starts().stream().map(RecordedActions.Start::endpointId).toList();
	}

	private RecordedActions.Start lastStartOn(String endpointId) {
		List<RecordedActions.Start> starts = this.actions.starts()
			.stream()
			.filter((start) -> start.endpointId().equals(endpointId))
			.toList();
		return starts.get(starts.size() - 1);
	}

	private List<String> reasons() {
		return this.actions.answers().stream().map((answer) -> answer.outcome().reasonCode()).toList();
	}

	@Nested
	class Starts {

		/**
		 * Guards against new tasks on a drained endpoint that has free capacity, while
		 * the other one is full.
		 */
		@Test
		void ofNewTasksAvoidDrainedEndpoints() {
			drain(5, DRAINED);
			submit(job("j", step(4, false)), 10);
			assertThat(startedOn()).containsExactly("b", "b");
		}

		/**
		 * Guards against an endpoint that is listed, or listed again, after its domain
		 * was drained.
		 */
		@Test
		void avoidEndpointsThatAreListedLater() {
			drain(5, DRAINED);
			list("c", DRAINED);
			list("a", DRAINED);
			submit(job("j", step(4, false)), 10);
			assertThat(startedOn()).containsExactly("b", "b");
		}

		/**
		 * Guards against a restart on the endpoint that lost the run, which has the most
		 * free capacity then.
		 */
		@ParameterizedTest
		@EnumSource(value = TerminationKind.class, names = { "LAPSED", "BROKEN", "STOPPED", "FAILED" })
		void afterATerminatedRunAvoidDrainedEndpoints(TerminationKind kind) {
			submit(job("j", step(4, false)), 10);
			drain(20, DRAINED);
			terminate(lastStartOn("a"), kind, 50);
			assertThat(startedOn()).hasSize(4);
			terminate(lastStartOn("b"), TerminationKind.DONE, 60);
			assertThat(startedOn()).hasSize(5).endsWith("b");
		}

		/**
		 * Guards against a gang that is placed with a check of its own: one member would
		 * fit on the other endpoint, and all of them only with the drained one.
		 */
		@Test
		void ofGangsAvoidDrainedEndpoints() {
			drain(5, DRAINED);
			submit(job("three", step(3, true)), 10);
			assertThat(startedOn()).isEmpty();
			submit(job("two", step(2, true)), 20);
			assertThat(startedOn()).containsExactly("b", "b");
		}

		@Test
		void ofTheNextStepAvoidDrainedEndpoints() {
			submit(job("j", step(2, false), step(4, false, 0)), 10);
			drain(20, DRAINED);
			for (RecordedActions.Start start : new ArrayList<>(DrainedDomainsTests.this.actions.starts())) {
				terminate(start, TerminationKind.DONE, 50);
			}
			assertThat(DrainedDomainsTests.this.actions.starts()
				.stream()
				.filter((start) -> start.run().task().step() == 1)
				.map(RecordedActions.Start::endpointId)).containsExactly("b", "b");
		}

		/**
		 * Guards against a next owner that adopts jobs before it applies the set: it must
		 * start the waiting task on no drained endpoint, and keep the run that is there.
		 */
		@Test
		void ofAdoptedJobsAvoidDrainedEndpoints() {
			submit(job("j", step(5, false)), 10);
			PoolTransfer transfer = DrainedDomainsTests.this.scheduler.transfer(20);
			RecordedActions nextActions = new RecordedActions();
			PoolScheduler nextScheduler = new PoolScheduler(PoolSettings.defaults(), nextActions);
			nextScheduler.drainedDomains(Set.of(DRAINED), 20);
			transfer.endpoints().forEach((entry) -> nextScheduler.endpointListed(entry, 20));
			nextScheduler.adopt(transfer, 21);
			List.of("a", "b")
				.forEach((id) -> nextScheduler.endpointReported(id,
						new EndpointReport(0, 30, List.of(), terminationsOn(id)), 29, 30));
			nextScheduler.tick(40);
			assertThat(nextActions.starts()).extracting(RecordedActions.Start::endpointId).containsExactly("b");
			assertThat(nextActions.stops()).isEmpty();
		}

		private List<TerminatedRun> terminationsOn(String endpointId) {
			List<TerminatedRun> terminations = new ArrayList<>();
			DrainedDomainsTests.this.actions.starts()
				.stream()
				.filter((start) -> start.endpointId().equals(endpointId))
				.forEach((start) -> terminations
					.add(new TerminatedRun(terminations.size() + 1, start.run(), TerminationKind.DONE)));
			return terminations;
		}

		@Test
		void resumeWhenTheDomainIsReturnedToService() {
			drain(5, DRAINED);
			submit(job("j", step(4, false)), 10);
			drain(20);
			assertThat(startedOn()).containsExactlyInAnyOrder("a", "a", "b", "b");
		}

	}

	@Nested
	class Runs {

		@Test
		void inADrainedDomainContinueAndAreAnswered() {
			submit(job("j", step(4, false)), 10);
			drain(20, DRAINED, OTHER);
			DrainedDomainsTests.this.scheduler.tick(25);
			for (RecordedActions.Start start : new ArrayList<>(DrainedDomainsTests.this.actions.starts())) {
				terminate(start, TerminationKind.DONE, 90);
			}
			assertThat(DrainedDomainsTests.this.actions.stops()).isEmpty();
			assertThat(reasons()).containsExactly("done");
		}

	}

	@Nested
	class Capacity {

		@Test
		void ofDrainedEndpointsDoesNotCount() {
			drain(5, DRAINED);
			PoolLoad load = DrainedDomainsTests.this.scheduler.load(10);
			assertThat(load.totalMillicores()).isEqualTo(16_000);
			assertThat(load.freeMillicores()).isEqualTo(16_000);
			drain(15, DRAINED, OTHER);
			assertThat(DrainedDomainsTests.this.scheduler.load(16).totalMillicores()).isZero();
			assertThat(DrainedDomainsTests.this.scheduler.load(16).freeMillicores()).isZero();
			drain(20);
			assertThat(DrainedDomainsTests.this.scheduler.load(25).totalMillicores()).isEqualTo(32_000);
		}

	}

	@Nested
	class Refusals {

		/**
		 * Guards against jobs that wait until they are of no use: with no capacity left
		 * the backlog reads zero, so that admission control alone would admit them.
		 */
		@Test
		void ofJobsThatOnlyDrainedEndpointsCouldRunAreImmediate() {
			drain(5, DRAINED, OTHER);
			submit(job("j", step(1, false)), 10);
			assertThat(reasons()).containsExactly("domains-drained");
			JobOutcome outcome = DrainedDomainsTests.this.actions.answers().get(0).outcome();
			assertThat(outcome.kind()).isEqualTo(JobOutcome.Kind.REFUSED);
			assertThat(outcome.retryAfterMillis()).isBetween(500L, 5_000L);
		}

		@Test
		void applyToWaitingJobsThatHaveNotStarted() {
			submit(job("running", step(4, false)), 10);
			submit(job("waiting", step(1, false)), 15);
			drain(20, DRAINED, OTHER);
			assertThat(DrainedDomainsTests.this.actions.answers()).extracting(RecordedActions.Answer::jobId)
				.containsExactly("waiting");
			assertThat(reasons()).containsExactly("domains-drained");
			terminate(lastStartOn("a"), TerminationKind.DONE, 50);
			drain(60);
			assertThat(startedOn()).hasSize(4);
		}

		@Test
		void doNotApplyToJobsThatAnotherEndpointCouldRun() {
			submit(job("running", step(4, false)), 10);
			submit(job("waiting", step(1, false)), 15);
			drain(20, DRAINED);
			assertThat(DrainedDomainsTests.this.actions.answers()).isEmpty();
		}

		@Test
		void forOtherReasonsKeepTheirReason() {
			drain(5, DRAINED, OTHER);
			submit(job("j", new StepSpec(1, new Resources(17_000, 1, 0), 100, List.of(), "", "", 0)), 10);
			assertThat(reasons()).containsExactly("no-fitting-endpoint");
		}

		/**
		 * A durable job that was accepted must neither be refused nor start until its
		 * domain is returned to service.
		 */
		@Test
		void doNotApplyToAcceptedDurableJobs() {
			JobSpec durable = new JobSpec("durable", "payload", List.of(step(1, false)), true, JobSchedule.IMMEDIATE);
			drain(5, DRAINED, OTHER);
			DrainedDomainsTests.this.scheduler.occurrences()
				.start(new DurableJob(durable, terms(), EPOCH_MILLIS), 0, List.of(), JobRunNumbers.UNRESERVED, false,
						10, 10);
			DrainedDomainsTests.this.scheduler.tick(300);
			assertThat(DrainedDomainsTests.this.actions.answers()).isEmpty();
			assertThat(startedOn()).isEmpty();
			drain(320);
			assertThat(startedOn()).hasSize(1);
		}

	}

}
