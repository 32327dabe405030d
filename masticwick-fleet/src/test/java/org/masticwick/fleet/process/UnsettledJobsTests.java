package org.masticwick.fleet.process;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.EndpointReport;
import org.masticwick.core.pool.JobOrigin;
import org.masticwick.core.pool.JobOutcome;
import org.masticwick.core.pool.JobSchedule;
import org.masticwick.core.pool.JobSpec;
import org.masticwick.core.pool.JobStatus;
import org.masticwick.core.pool.JobTerms;
import org.masticwick.core.pool.PoolActions;
import org.masticwick.core.pool.PoolScheduler;
import org.masticwick.core.pool.PoolSettings;
import org.masticwick.core.pool.Resources;
import org.masticwick.core.pool.StepSpec;
import org.masticwick.core.pool.TerminationId;
import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for what callers hear of a job while nobody knows whether the log has stored it:
 * neither that there is no such job, nor that it is cancelled, before that is settled.
 */
class UnsettledJobsTests {

	private static final String POOL = "d1";

	private static final String JOB = "job-1";

	private static final JobOrigin ORIGIN = new JobOrigin("host-1", 1);

	/** Longer than a callers' budget, and than the interval of repeated appends. */
	private static final int LONG_MILLIS = 2_000;

	private final VirtualTime time = new VirtualTime();

	private final ManualJobLog log = new ManualJobLog();

	private final List<String> starts = new ArrayList<>();

	private final List<JobOutcome> outcomes = new ArrayList<>();

	private Owner owner = new Owner("host-1");

	@BeforeEach
	void useSimulatedTime() {
		Clock.useSource(this.time);
		this.owner.own(16);
	}

	@AfterEach
	void useSystemTime() {
		Clock.useSystemSource();
	}

	private void play(int millis) {
		for (int passedMillis = 0; passedMillis < millis; passedMillis += 50) {
			this.time.run(50);
			this.owner.tick();
		}
	}

	private void answerLog() {
		this.log.answer();
		play(50);
	}

	private void submit() {
		this.owner.submit();
		play(50);
	}

	private CompletableFuture<PeerMessage> query(PeerMessage.JobQueryKind kind) {
		CompletableFuture<PeerMessage> answer = this.owner.query(kind);
		play(50);
		return answer;
	}

	private CompletableFuture<PeerMessage> cancel() {
		return query(PeerMessage.JobQueryKind.CANCEL);
	}

	private CompletableFuture<PeerMessage> status() {
		return query(PeerMessage.JobQueryKind.STATUS);
	}

	private static PeerMessage.JobQueryAnswer content(CompletableFuture<PeerMessage> answer) {
		assertThat(answer).isCompleted();
		return (PeerMessage.JobQueryAnswer) answer.join();
	}

	private static void assertIncomplete(CompletableFuture<PeerMessage> answer) {
		assertThat(content(answer)).isEqualTo(new PeerMessage.JobQueryAnswer(false, List.of(), 0));
	}

	private static void assertNoSuchJob(CompletableFuture<PeerMessage> answer) {
		assertThat(content(answer)).isEqualTo(new PeerMessage.JobQueryAnswer(true, List.of(), 0));
	}

	private static void assertCancelled(CompletableFuture<PeerMessage> answer) {
		assertThat(content(answer).status()).containsExactly(JobStatus.CANCELLED);
	}

	private void replaceOwner() {
		this.owner.lose();
		this.log.dropAppends();
		this.owner = new Owner("host-2");
		this.owner.own(48);
	}

	private void assertNothingStarts() {
		play(LONG_MILLIS);
		assertThat(this.starts).isEmpty();
	}

	/**
	 * Guards against a job that runs although its caller was told that there is no such
	 * job: its append was repeated until the log took it.
	 */
	@Nested
	class WhoseAppendHasNoAnswer {

		@BeforeEach
		void submitWithoutAnswer() {
			submit();
		}

		@Test
		void areNeitherKnownNorUnknown() {
			assertIncomplete(status());
		}

		@Test
		void areStoredAsCancelledIfTheyAreCancelled() {
			CompletableFuture<PeerMessage> answer = cancel();
			assertThat(answer).isNotDone();
			answerLog();
			assertThat(answer).as("the job is stored, its cancellation is not").isNotDone();
			answerLog();
			assertCancelled(answer);
			assertCancelled(status());
			assertNothingStarts();
		}

		@Test
		void areSaidToBeUndecidedAtOnceWhileTheLogFails() {
			UnsettledJobsTests.this.log.lose();
			play(50);
			assertIncomplete(cancel());
			assertIncomplete(status());
		}

		@Test
		void areCancelledByThatOnceTheLogIsBack() {
			UnsettledJobsTests.this.log.lose();
			play(50);
			cancel();
			play(LONG_MILLIS);
			UnsettledJobsTests.this.log.lose();
			play(LONG_MILLIS);
			answerLog();
			answerLog();
			assertCancelled(cancel());
			assertNothingStarts();
		}

		@Test
		void areCancelledAlthoughTheLogHadStoredThemAtOnce() {
			UnsettledJobsTests.this.log.storeAndLoseAnswers();
			play(50);
			assertIncomplete(cancel());
			play(LONG_MILLIS);
			answerLog();
			answerLog();
			assertCancelled(cancel());
			assertNothingStarts();
		}

		/** A refusal would say that the job never runs. */
		@Test
		void areNotRefusedIfTheyComeAgainWhileTheLogFails() {
			UnsettledJobsTests.this.log.lose();
			play(50);
			submit();
			play(LONG_MILLIS);
			assertThat(UnsettledJobsTests.this.outcomes).extracting(JobOutcome::kind)
				.containsExactly(JobOutcome.Kind.UNCERTAIN, JobOutcome.Kind.UNCERTAIN);
		}

		@Test
		void areAcceptedIfNobodyCancelsThem() {
			answerLog();
			assertThat(UnsettledJobsTests.this.outcomes).extracting(JobOutcome::kind)
				.containsExactly(JobOutcome.Kind.ACCEPTED);
			play(LONG_MILLIS);
			assertThat(UnsettledJobsTests.this.starts).containsExactly("host-1");
		}

	}

	/**
	 * The owner is lost, or hands over, between a submission and its cancellation.
	 */
	@Nested
	class OfAPreviousOwner {

		@Test
		void areCancelledIfTheirAppendWasCarriedOut() {
			submit();
			UnsettledJobsTests.this.log.storeAndLoseAnswers();
			replaceOwner();
			CompletableFuture<PeerMessage> answer = cancel();
			UnsettledJobsTests.this.starts.clear();
			answerLog();
			assertCancelled(answer);
			assertNothingStarts();
		}

		@Test
		void areUnknownIfTheirAppendIsRefused() {
			submit();
			replaceOwner();
			CompletableFuture<PeerMessage> answer = cancel();
			assertThat(answer).isNotDone();
			answerLog();
			assertNoSuchJob(answer);
			submit();
			assertThat(UnsettledJobsTests.this.outcomes).extracting(JobOutcome::kind)
				.containsExactly(JobOutcome.Kind.UNCERTAIN, JobOutcome.Kind.REFUSED);
			assertNothingStarts();
		}

		/** A refusal would say that the job never runs, but its owner has to read it. */
		@Test
		void areNotRefusedByAnOwnerThatHasNotReadThem() {
			submit();
			UnsettledJobsTests.this.log.storeAndLoseAnswers();
			UnsettledJobsTests.this.owner.lose();
			play(50);
			UnsettledJobsTests.this.outcomes.clear();
			UnsettledJobsTests.this.owner = new Owner("host-2");
			UnsettledJobsTests.this.owner.claim(48);
			submit();
			assertThat(UnsettledJobsTests.this.outcomes).extracting(JobOutcome::kind)
				.containsExactly(JobOutcome.Kind.UNCERTAIN);
			assertIncomplete(status());
			assertIncomplete(cancel());
		}

		@ParameterizedTest
		@EnumSource(value = PeerMessage.JobQueryKind.class, names = { "STATUS", "CANCEL" })
		void areUndecidedAtAHostThatLosesThePool(PeerMessage.JobQueryKind kind) {
			CompletableFuture<PeerMessage> answer = query(kind);
			assertThat(answer).isNotDone();
			UnsettledJobsTests.this.owner.lose();
			assertIncomplete(answer);
			assertIncomplete(query(kind));
		}

	}

	/**
	 * A host that was frozen, or is cut off, may not know of a later owner of the pool.
	 */
	@Nested
	class AtAHostThatMayNotOwnThePool {

		@ParameterizedTest
		@EnumSource(value = PeerMessage.JobQueryKind.class, names = { "STATUS", "CANCEL" })
		void areUnknownOnceTheLogHasConfirmedThatItDoes(PeerMessage.JobQueryKind kind) {
			CompletableFuture<PeerMessage> answer = query(kind);
			assertThat(answer).isNotDone();
			answerLog();
			assertNoSuchJob(answer);
		}

		@ParameterizedTest
		@EnumSource(value = PeerMessage.JobQueryKind.class, names = { "STATUS", "CANCEL" })
		void areNotUnknownIfItDoesNot(PeerMessage.JobQueryKind kind) {
			CompletableFuture<PeerMessage> answer = query(kind);
			UnsettledJobsTests.this.log.fence();
			play(50);
			assertThat(answer).isNotDone();
			UnsettledJobsTests.this.owner.lose();
			assertIncomplete(answer);
		}

		@Test
		void areUndecidedAtOnceWhileTheLogFails() {
			status();
			UnsettledJobsTests.this.log.lose();
			play(50);
			assertIncomplete(status());
			assertIncomplete(cancel());
		}

	}

	/**
	 * A submission that is on its way when its cancellation is answered, or that comes
	 * again, must start nothing.
	 */
	@Nested
	class CancelledBeforeTheirSubmission {

		@BeforeEach
		void cancelUnknownJob() {
			CompletableFuture<PeerMessage> answer = cancel();
			answerLog();
			assertNoSuchJob(answer);
		}

		private void assertRefused() {
			submit();
			assertThat(UnsettledJobsTests.this.outcomes).extracting(JobOutcome::kind)
				.containsExactly(JobOutcome.Kind.REFUSED);
			answerLog();
			assertNothingStarts();
		}

		@Test
		void areRefused() {
			assertRefused();
		}

		@Test
		void areRefusedByTheNextOwner() {
			replaceOwner();
			assertRefused();
		}

		/** Nobody has submitted such a job, so that none may be shown. */
		@Test
		void areStillUnknown() {
			CompletableFuture<PeerMessage> answer = status();
			answerLog();
			assertNoSuchJob(answer);
		}

	}

	/**
	 * A host that owns the pool, with one endpoint.
	 */
	private final class Owner implements DurableJobManager.Listener {

		private final PoolScheduler scheduler;

		private final DurableJobManager manager;

		private Owner(String hostName) {
			PoolActions actions = (PoolActions) Proxy.newProxyInstance(UnsettledJobsTests.class.getClassLoader(),
					new Class<?>[] { PoolActions.class }, (proxy, method, arguments) -> {
						if (method.getName().equals("start")) {
							UnsettledJobsTests.this.starts.add(hostName);
						}
						return null;
					});
			this.scheduler = new PoolScheduler(PoolSettings.defaults(), actions);
			this.manager = new DurableJobManager(new VirtualEventLoop(UnsettledJobsTests.this.time, hostName),
					UnsettledJobsTests.this.log, List.of(POOL), this.scheduler, this);
		}

		private void claim(long token) {
			this.manager.addPool(new PoolClaim(POOL, null, token, List.of()));
		}

		private void own(long token) {
			claim(token);
			UnsettledJobsTests.this.log.answer();
			this.scheduler.endpointListed(new EndpointEntry("e1", "service", new HostAddress("10.0.0.9", 1), POOL, true,
					new Resources(8_000, 1_000, 0), Set.of(), 7), Clock.nowMillis());
			this.scheduler.endpointReported("e1", new EndpointReport(7, 1, List.of(), List.of()), Clock.nowMillis() - 1,
					Clock.nowMillis());
			play(50);
		}

		private void lose() {
			this.manager.removePool(POOL);
		}

		private void tick() {
			this.manager.tick();
			this.scheduler.tick(Clock.nowMillis());
		}

		private void submit() {
			StepSpec step = new StepSpec(1, new Resources(1_000, 1, 0), 100, List.of(), "", "", 0);
			this.manager.submit(POOL, new JobSpec(JOB, "payload", List.of(step), true, JobSchedule.IMMEDIATE),
					new JobTerms("queue", "service", 0, 2, 2, 200, 1_000, 1), ORIGIN);
		}

		private CompletableFuture<PeerMessage> query(PeerMessage.JobQueryKind kind) {
			return this.manager.query(new PeerMessage.JobQuery(kind, JOB, List.of(POOL)));
		}

		@Override
		public void terminationStored(TerminationId termination) {
			// No run ends.
		}

		@Override
		public void submissionAnswered(JobOrigin origin, String jobId, JobOutcome outcome) {
			UnsettledJobsTests.this.outcomes.add(outcome);
		}

		@Override
		public void journalFenced(String pool) {
			// The tests remove the pool.
		}

		@Override
		public boolean mayHaveUnknownJobs() {
			return true;
		}

		@Override
		public boolean hasDurableJobs() {
			return true;
		}

		@Override
		public CompletableFuture<Void> storeDurableJobsMarker() {
			return CompletableFuture.completedFuture(null);
		}

		@Override
		public boolean mayHaveEndpoints(String pool) {
			return true;
		}

		@Override
		public boolean allEndpointsContactedSince(long sinceMillis) {
			return true;
		}

		@Override
		public long lastContactMillis(String pool) {
			return Clock.nowMillis();
		}

	}

}
