package org.masticwick.fleet.process;

import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.pool.DurableJob;
import org.masticwick.core.pool.DurableProgress;
import org.masticwick.core.pool.DurableState;
import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.EndpointReport;
import org.masticwick.core.pool.JobOrigin;
import org.masticwick.core.pool.JobOutcome;
import org.masticwick.core.pool.JobSchedule;
import org.masticwick.core.pool.JobSpec;
import org.masticwick.core.pool.JobTerms;
import org.masticwick.core.pool.PoolActions;
import org.masticwick.core.pool.PoolScheduler;
import org.masticwick.core.pool.PoolSettings;
import org.masticwick.core.pool.Resources;
import org.masticwick.core.pool.StepSpec;
import org.masticwick.core.pool.TaskId;
import org.masticwick.core.pool.TaskRun;
import org.masticwick.core.pool.TerminatedRun;
import org.masticwick.core.pool.TerminationId;
import org.masticwick.core.pool.TerminationKind;
import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.DurableJobCodec;
import org.masticwick.wire.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the ends of runs that the owner of an endpoint forwards to the owner of the
 * job: they are acknowledged only if the next owner of the job can read them.
 */
class ForwardedEndsTests {

	private static final String POOL = "d1";

	private static final String JOB = "job-1";

	private final VirtualTime time = new VirtualTime();

	private final ManualJobLog log = new ManualJobLog();

	private final PoolScheduler scheduler = new PoolScheduler(PoolSettings.defaults(), ignored(PoolActions.class));

	private boolean siteHasDurableJobs = true;

	private final DurableJobManager manager = new DurableJobManager(new VirtualEventLoop(this.time, "host-1"), this.log,
			List.of(POOL), this.scheduler, new IgnoringListener());

	private static <T> T ignored(Class<T> type) {
		return type.cast(Proxy.newProxyInstance(ForwardedEndsTests.class.getClassLoader(), new Class<?>[] { type },
				(proxy, method, arguments) -> null));
	}

	@BeforeEach
	void useSimulatedTime() {
		Clock.useSource(this.time);
		storeJob();
	}

	@AfterEach
	void useSystemTime() {
		Clock.useSystemSource();
	}

	private void storeJob() {
		StepSpec step = new StepSpec(1, new Resources(1_000, 1, 0), 100, List.of(), "", "", 0);
		DurableJob job = new DurableJob(new JobSpec(JOB, "payload", List.of(step), true, JobSchedule.IMMEDIATE),
				new JobTerms("queue", "service", 0, 2, 2, 200, 1_000, 1), this.time.epochMillis());
		this.log.store("d/" + JOB, DurableJobCodec.encode(job));
		this.log.store("p/" + JOB,
				DurableJobCodec.encode(new DurableProgress(DurableState.ACTIVE, this.time.epochMillis(), List.of())));
	}

	private void own(long token) {
		this.manager.addPool(new PoolClaim(POOL, null, token, List.of()));
		this.log.answer();
		play();
	}

	private void play() {
		this.time.run(50);
	}

	private static PeerMessage.StrayEnd end(String jobId) {
		TaskRun run = new TaskRun(new TaskId(jobId, 0, 0, 0), 1);
		return new PeerMessage.StrayEnd(new TerminationId("e9", 7, 3), new TerminatedRun(3, run, TerminationKind.DONE));
	}

	private CompletableFuture<PeerMessage> forward(String jobId) {
		CompletableFuture<PeerMessage> answer = this.manager.recordOrphanedTermination(end(jobId));
		play();
		return answer;
	}

	private static void assertAcknowledged(CompletableFuture<PeerMessage> answer) {
		assertThat(answer).isCompletedWithValueMatching(PeerMessage.Acknowledged.class::isInstance);
	}

	private static void assertRefused(CompletableFuture<PeerMessage> answer) {
		assertThat(answer).isCompletedWithValueMatching(PeerMessage.ErrorAnswer.class::isInstance);
	}

	@Nested
	class OfKnownJobs {

		@ParameterizedTest
		@ValueSource(ints = { 1, 2 })
		void areAcknowledgedOnceTheyAreStored(int count) {
			own(16);
			CompletableFuture<PeerMessage> answer = forward(JOB);
			for (int repetition = 1; repetition < count; repetition++) {
				assertThat(forward(JOB)).isNotDone();
			}
			assertThat(answer).isNotDone();
			ForwardedEndsTests.this.log.answer();
			play();
			assertAcknowledged(answer);
		}

		// The answer of the first ownership stayed pending. The same end, forwarded again
		// after the return of the pool, joined it, and was never recorded.
		@Test
		void areRecordedAnewAfterThePoolHasReturned() {
			own(16);
			CompletableFuture<PeerMessage> lost = forward(JOB);
			ForwardedEndsTests.this.manager.removePool(POOL);
			assertRefused(lost);
			ForwardedEndsTests.this.log.dropAppends();
			own(48);
			CompletableFuture<PeerMessage> answer = forward(JOB);
			assertThat(answer).isNotDone();
			ForwardedEndsTests.this.log.answer();
			play();
			assertAcknowledged(answer);
			assertThat(ForwardedEndsTests.this.log.appendedKeys()).contains("p/" + JOB);
		}

	}

	/**
	 * A host that was frozen, or is cut off, may not know yet that a later owner of the
	 * pool has accepted the job.
	 */
	@Nested
	class OfUnknownJobs {

		@Test
		void areAcknowledgedOnceTheLogHasConfirmedTheOwnership() {
			own(16);
			CompletableFuture<PeerMessage> answer = forward("unknown");
			assertThat(answer).isNotDone();
			ForwardedEndsTests.this.log.answer();
			play();
			assertAcknowledged(answer);
		}

		private PoolScheduler listOnAnOwnEndpoint() {
			PoolScheduler scheduler = ForwardedEndsTests.this.scheduler;
			scheduler.recoveryStatus(ForwardedEndsTests.this.manager);
			own(16);
			scheduler.endpointListed(new EndpointEntry("e9", "service", new HostAddress("10.0.0.9", 1), POOL, true,
					new Resources(1_000, 1_000, 0), Set.of(), 7), Clock.nowMillis());
			scheduler.endpointReported("e9", new EndpointReport(7, 1, List.of(), List.of(end("unknown").termination())),
					Clock.nowMillis() - 1, Clock.nowMillis());
			return scheduler;
		}

		// The owner of the endpoint owns the pool of the job too, as far as it knows.
		@Test
		void onAnOwnEndpointAreKeptUntilThen() {
			PoolScheduler scheduler = listOnAnOwnEndpoint();
			assertThat(scheduler.acknowledgedTerminationNumber("e9")).isEqualTo(2);
			assertThat(scheduler.hasUnresolvedTerminations("e9")).isTrue();
		}

		// The only owner of a site, which hears of no other owner, waited for the log
		// with
		// each late end of an interactive run.
		@Test
		void areAcknowledgedAtOnceOnASiteWithoutDurableJobs() {
			ForwardedEndsTests.this.siteHasDurableJobs = false;
			PoolScheduler scheduler = listOnAnOwnEndpoint();
			assertThat(scheduler.acknowledgedTerminationNumber("e9")).isEqualTo(3);
			assertThat(scheduler.hasUnresolvedTerminations("e9")).isFalse();
		}

		@Test
		void areNotAcknowledgedIfThePoolHasALaterOwner() {
			own(16);
			CompletableFuture<PeerMessage> answer = forward("unknown");
			ForwardedEndsTests.this.log.fence();
			play();
			assertThat(answer).isNotDone();
			ForwardedEndsTests.this.manager.removePool(POOL);
			assertRefused(answer);
		}

	}

	private final class IgnoringListener implements DurableJobManager.Listener {

		@Override
		public void terminationStored(TerminationId termination) {
			// The end is of an endpoint of another owner.
		}

		@Override
		public void submissionAnswered(JobOrigin origin, String jobId, JobOutcome outcome) {
			// The tests submit no job.
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
			return ForwardedEndsTests.this.siteHasDurableJobs;
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
