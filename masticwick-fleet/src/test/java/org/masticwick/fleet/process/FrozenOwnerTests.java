package org.masticwick.fleet.process;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.JobOrigin;
import org.masticwick.core.pool.JobOutcome;
import org.masticwick.core.pool.JobSpec;
import org.masticwick.core.pool.JobTerms;
import org.masticwick.core.pool.Resources;
import org.masticwick.core.pool.StepSpec;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.fleet.version.DrainedDomainsHolder;
import org.masticwick.wire.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for a {@link PoolOwner} that is frozen, because its pools are being handed over,
 * and goes on because the handover failed.
 */
class FrozenOwnerTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final long RUN_MILLIS = 3_000;

	private static final String CALLERS_HOST = "10.0.0.2:1";

	private final EventLoopGroup loops = new NioEventLoopGroup(1);

	private final EventLoop loop = this.loops.next();

	private final InMemoryEndpoints endpoints = new InMemoryEndpoints(RUN_MILLIS);

	private final List<String> answers = new CopyOnWriteArrayList<>();

	private PoolOwner owner;

	@BeforeEach
	void startJobOnTheOnlyEndpoint() {
		DrainedDomainsHolder drains = new DrainedDomainsHolder(new FleetSite.TextSiteFormat(), (domains) -> {
		});
		drains.onLoaded(List.of());
		drains.onUpToDate(1);
		MemberRecord self = new MemberRecord("a", "d1", new HostAddress("10.0.0.1", 1), new Incarnation(1, 1), 1_000);
		onLoop(() -> {
			this.owner = new PoolOwner(this.loop, this.endpoints.clientOn(this.loop),
					new InMemoryLog().clientOf("a", this.loop), List.of("d1"), new FleetMetrics(), new LossExchange(),
					drains, new SingleOwner("d1"), new RecordingListener());
			this.owner.addPool(new PoolClaim("d1", self, 32, List.of()));
			this.owner.endpointListed(endpoint("e1"));
			this.owner.endpointsLoaded();
			this.loop.scheduleAtFixedRate(this.owner::tick, 0, 25, TimeUnit.MILLISECONDS);
			submit("running", 1);
			return null;
		});
		Awaitility.await().atMost(TIMEOUT).until(() -> this.endpoints.runningCount() == 1);
	}

	@AfterEach
	void stop() {
		this.loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
	}

	private <T> T onLoop(Callable<T> action) {
		return this.loop.submit(action).syncUninterruptibly().getNow();
	}

	private static EndpointEntry endpoint(String id) {
		return new EndpointEntry(id, "service", new HostAddress("10.0.0.9", 1), "d1", true,
				new Resources(1_000, 1_000, 0), Set.of(), 1);
	}

	private void submit(String jobId, long callNumber) {
		StepSpec step = new StepSpec(1, new Resources(1_000, 1, 0), RUN_MILLIS, List.of(), "", "", 0);
		this.owner.submit("d1", new JobSpec(jobId, "payload", List.of(step)),
				new JobTerms("queue", "service", 0, 2, 20, 60, 60_000, 1, 0), new JobOrigin(CALLERS_HOST, callNumber),
				"");
	}

	private static void pause(long millis) {
		Awaitility.await().pollDelay(Duration.ofMillis(millis)).atMost(TIMEOUT).until(() -> true);
	}

	@Nested
	class WhoseHandoverFails {

		/** The word of the host was ignored, and the host does not repeat it for ever. */
		@Test
		void endsTheJobsThatWereGivenUpMeanwhile() {
			onLoop(() -> {
				FrozenOwnerTests.this.owner.freeze();
				FrozenOwnerTests.this.owner.cancelAbandoned(CALLERS_HOST, List.of(1L));
				FrozenOwnerTests.this.owner.unfreeze();
				return null;
			});
			Awaitility.await().atMost(TIMEOUT).until(() -> FrozenOwnerTests.this.endpoints.runningCount() == 0);
			assertThat(FrozenOwnerTests.this.answers).containsExactly("running UNCERTAIN call-abandoned");
		}

		/** The end of the first given-up job used to start the next one. */
		@Test
		void startsNoJobThatWasGivenUpMeanwhile() {
			onLoop(() -> {
				FrozenOwnerTests.this.owner.endpointListed(endpoint("e2"));
				return null;
			});
			pause(300);
			onLoop(() -> {
				FrozenOwnerTests.this.owner.freeze();
				submit("waiting", 2);
				FrozenOwnerTests.this.owner.cancelAbandoned(CALLERS_HOST, List.of(2L));
				FrozenOwnerTests.this.owner.entryHostLost("10.0.0.3:1");
				FrozenOwnerTests.this.owner.unfreeze();
				return null;
			});
			Awaitility.await().atMost(TIMEOUT).until(() -> !FrozenOwnerTests.this.answers.isEmpty());
			assertThat(FrozenOwnerTests.this.answers).containsExactly("waiting UNCERTAIN call-abandoned");
			assertThat(FrozenOwnerTests.this.endpoints.startCount()).isEqualTo(1);
		}

		@Test
		void endsTheJobsOfHostsThatWereLostMeanwhile() {
			onLoop(() -> {
				FrozenOwnerTests.this.owner.freeze();
				FrozenOwnerTests.this.owner.entryHostLost(CALLERS_HOST);
				FrozenOwnerTests.this.owner.unfreeze();
				return null;
			});
			Awaitility.await().atMost(TIMEOUT).until(() -> FrozenOwnerTests.this.endpoints.runningCount() == 0);
			assertThat(FrozenOwnerTests.this.answers).containsExactly("running UNCERTAIN entry-host-lost");
		}

	}

	@Nested
	class WhoseProcessIsPaused {

		private static final long PAUSE_MILLIS = 1_000;

		@Test
		void startsAndExtendsNothingWhenItWakes() {
			int renewals = onLoop(() -> {
				FrozenOwnerTests.this.owner.freeze();
				TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
				submit("waiting", 2);
				return FrozenOwnerTests.this.endpoints.renewalCount("e1");
			});
			pause(400);
			assertThat(FrozenOwnerTests.this.endpoints.renewalCount("e1")).isLessThanOrEqualTo(renewals + 1);
			assertThat(FrozenOwnerTests.this.endpoints.runningCount()).isZero();
			assertThat(FrozenOwnerTests.this.endpoints.startCount()).isEqualTo(1);
		}

		@Test
		void startsNothingOfAHostThatGaveItsJobsUpWhenTheHandoverFails() {
			onLoop(() -> {
				submit("waiting", 2);
				FrozenOwnerTests.this.owner.freeze();
				TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
				FrozenOwnerTests.this.owner.cancelAbandoned(CALLERS_HOST, List.of(1L, 2L));
				FrozenOwnerTests.this.owner.unfreeze();
				return null;
			});
			pause(500);
			assertThat(FrozenOwnerTests.this.endpoints.startCount()).isEqualTo(1);
			assertThat(FrozenOwnerTests.this.answers).hasSize(2);
		}

	}

	private final class RecordingListener implements PoolOwnerListener {

		@Override
		public void jobAnswered(JobOrigin origin, String jobId, JobOutcome outcome) {
			FrozenOwnerTests.this.answers.add(jobId + " " + outcome.kind() + " " + outcome.reason());
		}

		@Override
		public void jobPlaced(JobOrigin origin, String jobId, String pool) {
			FrozenOwnerTests.this.answers.add(jobId + " placed in " + pool);
		}

		@Override
		public void poolFenced(String pool) {
		}

		@Override
		public boolean isPoolReachable(String pool) {
			return true;
		}

		@Override
		public boolean mayHaveUnknownDurableJobs() {
			return false;
		}

		@Override
		public boolean hasSiteDurableJobs() {
			return false;
		}

		@Override
		public CompletableFuture<Void> storeDurableJobsMarker() {
			return CompletableFuture.completedFuture(null);
		}

		@Override
		public CompletionStage<PeerMessage> forwardOrphanedTermination(PeerMessage.StrayEnd message) {
			return new CompletableFuture<>();
		}

	}

}
