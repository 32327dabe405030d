package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.masticwick.core.pool.JobOrigin;
import org.masticwick.core.pool.JobOutcome;
import org.masticwick.core.pool.JobRegistration;
import org.masticwick.core.pool.JobSpec;
import org.masticwick.core.pool.JobTerms;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.wire.PeerErrorCodes;
import org.masticwick.wire.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link JobRegistrar} with owners of the pools d1, d2 and d3 on simulated
 * time.
 */
class JobRegistrarTests {

	private static final String JOB = "job";

	private static final long LATENCY_MICROS = 500;

	private static final long SETTLED_MILLIS = SettledPools.SETTLING_MILLIS;

	/** Longer than a registration without a lost owner takes. */
	private static final long ROUND_TRIPS_MILLIS = 10;

	private static final long PATIENCE_MILLIS = 1_600;

	private final VirtualTime time = new VirtualTime();

	private final Map<String, Owner> owners = new LinkedHashMap<>();

	private final Set<String> unreachable = new HashSet<>();

	/** The pool that jobs are assigned to. */
	private String registrarPool = "d3";

	private long callNumber;

	@BeforeEach
	void startOwners() {
		Clock.useSource(this.time);
		List.of("d1", "d2", "d3").forEach((pool) -> this.owners.put(pool, new Owner(pool)));
		this.time.run(SETTLED_MILLIS);
	}

	@AfterEach
	void useSystemClock() {
		Clock.useSystemSource();
	}

	private Owner owner(String pool) {
		return this.owners.get(pool);
	}

	private JobOrigin submit(String pool) {
		return submit(pool, "");
	}

	private JobOrigin submit(String pool, String refusedBy) {
		JobOrigin origin = new JobOrigin("callers", ++this.callNumber);
		owner(pool).registrar.submit(new JobSubmission(pool, new JobSpec(JOB, "payload", List.of()),
				new JobTerms("queue", "service", 0, 2, 2, 60, 5_000, 1, 0), origin, refusedBy, Clock.nowMillis()));
		return origin;
	}

	private List<String> runningPools() {
		return this.owners.values().stream().filter((owner) -> owner.running).map((owner) -> owner.pool).toList();
	}

	@Nested
	class Copies {

		@Test
		void runAtOneOwnerAlthoughTheyReachTwoAtOnce() {
			submit("d1");
			submit("d2");
			JobRegistrarTests.this.time.run(ROUND_TRIPS_MILLIS);
			assertThat(runningPools()).containsExactly("d1");
			assertThat(owner("d2").events).containsExactly("follows to d1");
		}

		@Test
		void runAtTheRegistrarIfItGotTheFirst() {
			submit("d3");
			submit("d1");
			JobRegistrarTests.this.time.run(ROUND_TRIPS_MILLIS);
			assertThat(runningPools()).containsExactly("d3");
			assertThat(owner("d1").events).containsExactly("follows to d3");
		}

		@Test
		void runAtOneOwnerAlthoughTheRegistrarIsUnreachable() {
			JobRegistrarTests.this.unreachable.add("d3");
			submit("d2");
			submit("d1");
			JobRegistrarTests.this.time.run(ROUND_TRIPS_MILLIS);
			assertThat(runningPools()).containsExactly("d1");
			assertThat(owner("d2").events).containsExactly("follows to d1");
		}

		@Test
		void runAtOneOwnerAlthoughTheRegistrarHasChangedBetweenThem() {
			submit("d1");
			JobRegistrarTests.this.time.run(ROUND_TRIPS_MILLIS);
			JobRegistrarTests.this.owners.put("d3", new Owner("d3"));
			submit("d2");
			JobRegistrarTests.this.time.run(ROUND_TRIPS_MILLIS);
			assertThat(runningPools()).containsExactly("d1");
			assertThat(owner("d2").events).containsExactly("follows to d1");
		}

		@Test
		void runAtOneOwnerAlthoughTheRegistrarWasPausedBetweenThem() {
			JobRegistrarTests.this.unreachable.add("d3");
			submit("d1");
			JobRegistrarTests.this.time.run(ROUND_TRIPS_MILLIS);
			JobRegistrarTests.this.unreachable.clear();
			owner("d3").registrar.paused();
			submit("d2");
			JobRegistrarTests.this.time.run(ROUND_TRIPS_MILLIS);
			assertThat(runningPools()).containsExactly("d1");
		}

		@Test
		void runAtOneOwnerAlthoughTheRegistrarGetsOneWhenItIsNew() {
			submit("d1");
			JobRegistrarTests.this.time.run(ROUND_TRIPS_MILLIS);
			JobRegistrarTests.this.owners.put("d3", new Owner("d3"));
			submit("d3");
			JobRegistrarTests.this.time.run(ROUND_TRIPS_MILLIS);
			assertThat(runningPools()).containsExactly("d1");
		}

		@Test
		void joinTheFirstAtTheSameOwner() {
			submit("d1");
			JobOrigin second = submit("d1");
			JobRegistrarTests.this.time.run(ROUND_TRIPS_MILLIS);
			assertThat(owner("d1").origins).containsExactly(second);
			assertThat(owner("d1").events).containsExactly("UNCERTAIN submitted-again");
			JobOrigin third = submit("d1");
			assertThat(owner("d1").origins).containsExactly(second, third);
		}

		/** Records of what owners meant to run used to send such copies to and fro. */
		@Test
		void runSomewhereAlthoughTheOwnerOfTheFirstHasDroppedIt() {
			owner("d3").mayRunByPreviousOwner = true;
			submit("d1");
			JobRegistrarTests.this.time.run(PATIENCE_MILLIS);
			owner("d3").mayRunByPreviousOwner = false;
			owner("d3").registrar.paused();
			submit("d2");
			JobRegistrarTests.this.time.run(ROUND_TRIPS_MILLIS);
			assertThat(runningPools()).containsExactly("d2");
			assertThat(owner("d2").events).isEmpty();
		}

		/** An owner that was superseded may not have learned of it. */
		@Test
		void waitWhileAPreviousOwnerOfThePoolRunsTheFirst() {
			Owner previous = owner("d1");
			previous.running = true;
			JobRegistrarTests.this.owners.put("d1", new Owner("d1"));
			JobRegistrarTests.this.owners.put("previous", previous);
			JobRegistrarTests.this.registrarPool = "d1";
			submit("d1");
			JobRegistrarTests.this.time.run(200);
			assertThat(owner("d1").running).isFalse();
			previous.running = false;
			JobRegistrarTests.this.time.run(50);
			assertThat(owner("d1").running).isTrue();
		}

	}

	@Nested
	class LostOwners {

		@Test
		void holdBackJobsThatTheyMayRunUntilTheirLeasesHaveExpired() {
			JobRegistrarTests.this.unreachable.add("d3");
			owner("d1").lostOwnerMayRun = true;
			submit("d1");
			JobRegistrarTests.this.time.run(600);
			assertThat(runningPools()).isEmpty();
			owner("d1").lostOwnerMayRun = false;
			JobRegistrarTests.this.time.run(50);
			assertThat(runningPools()).containsExactly("d1");
		}

		@Test
		void areNotWaitedForLongerThanACallerWaits() {
			JobRegistrarTests.this.unreachable.add("d3");
			owner("d1").lostOwnerMayRun = true;
			submit("d1");
			JobRegistrarTests.this.time.run(PATIENCE_MILLIS);
			assertThat(owner("d1").events).containsExactly("UNCERTAIN lost-owner-may-run-it");
			owner("d1").lostOwnerMayRun = false;
			JobRegistrarTests.this.time.run(PATIENCE_MILLIS);
			assertThat(runningPools()).isEmpty();
		}

		@Test
		void letNoOtherOwnerRunAJobThatTheirSuccessorHasNotLookedFor() {
			owner("d3").mayRunByPreviousOwner = true;
			submit("d1");
			JobRegistrarTests.this.time.run(200);
			assertThat(runningPools()).isEmpty();
			owner("d3").mayRunByPreviousOwner = false;
			JobRegistrarTests.this.time.run(50);
			assertThat(runningPools()).containsExactly("d1");
		}

	}

	@Nested
	class CallersThatLeave {

		@Test
		void startNothing() {
			JobOrigin origin = submit("d1");
			assertThat(owner("d1").registrar.cancel(JOB, (submission) -> submission.origin().equals(origin))).isTrue();
			JobRegistrarTests.this.time.run(PATIENCE_MILLIS);
			assertThat(runningPools()).isEmpty();
			assertThat(owner("d1").events).isEmpty();
		}

		@Test
		void doNotEndTheCopyOfAnother() {
			JobOrigin first = submit("d1");
			submit("d1");
			assertThat(owner("d1").registrar.cancel(JOB, (submission) -> submission.origin().equals(first))).isFalse();
			JobRegistrarTests.this.time.run(ROUND_TRIPS_MILLIS);
			assertThat(runningPools()).containsExactly("d1");
		}

	}

	@Nested
	class ChangesOfOwners {

		@Test
		void sendWaitingCopiesBack() {
			submit("d1");
			owner("d1").registrar.returnAll();
			JobRegistrarTests.this.time.run(PATIENCE_MILLIS);
			assertThat(runningPools()).isEmpty();
			assertThat(owner("d1").events).containsExactly("NOT_OWNER owner-changes");
		}

	}

	@Nested
	class Updates {

		/** Hosts of the version before know no registration. */
		@Test
		void letJobsRunWhoseRegistrarIsOfAnEarlierVersion() {
			owner("d3").ofEarlierVersion = true;
			submit("d1");
			JobRegistrarTests.this.time.run(ROUND_TRIPS_MILLIS);
			submit("d2");
			JobRegistrarTests.this.time.run(ROUND_TRIPS_MILLIS);
			assertThat(runningPools()).containsExactly("d1");
		}

	}

	@Nested
	class Refusals {

		@Test
		void letTheCopyRunAtAnotherOwner() {
			submit("d1");
			JobRegistrarTests.this.time.run(ROUND_TRIPS_MILLIS);
			owner("d1").running = false;
			submit("d2", "d1");
			JobRegistrarTests.this.time.run(ROUND_TRIPS_MILLIS);
			assertThat(runningPools()).containsExactly("d2");
		}

	}

	/**
	 * An owner of one pool, which runs a job or not.
	 */
	private final class Owner implements OwnerJobs, SiteOwners {

		private final String pool;

		private final VirtualEventLoop eventLoop;

		private final JobRegistrar registrar;

		private final List<String> events = new ArrayList<>();

		private final List<JobOrigin> origins = new ArrayList<>();

		private boolean running;

		private boolean mayRunByPreviousOwner;

		private boolean lostOwnerMayRun;

		private boolean ofEarlierVersion;

		private Owner(String pool) {
			this.pool = pool;
			this.eventLoop = new VirtualEventLoop(JobRegistrarTests.this.time, pool);
			OwnedPools pools = new OwnedPools();
			pools.add(new PoolClaim(pool, new MemberRecord(pool, pool, address(pool), new Incarnation(1, 1), 1_000), 1,
					List.of()));
			this.registrar = new JobRegistrar(this.eventLoop, pools, this, this,
					(other) -> !JobRegistrarTests.this.unreachable.contains(other), new FleetMetrics());
			this.registrar.poolAssumed(pool);
		}

		private static HostAddress address(String name) {
			return new HostAddress("10.0.0.1", 1_000 + name.hashCode() % 1_000);
		}

		private PeerMessage answer(HostAddress from, JobRegistration registration) {
			return this.ofEarlierVersion ? new PeerMessage.ErrorAnswer(PeerErrorCodes.UNKNOWN_MESSAGE, "Unknown")
					: this.registrar.register(from, registration);
		}

		@Override
		public boolean hasJob(String jobId) {
			return this.running;
		}

		@Override
		public boolean mayRunByPreviousOwner(String jobId, long receivedMillis) {
			return this.mayRunByPreviousOwner;
		}

		@Override
		public boolean mayHaveBeenPaused() {
			return false;
		}

		@Override
		public void run(JobSubmission submission) {
			this.running = true;
			this.origins.add(submission.origin());
		}

		@Override
		public void answer(JobSubmission submission, JobOutcome outcome) {
			this.events.add(outcome.kind() + " " + outcome.reason());
		}

		@Override
		public void placedElsewhere(JobSubmission submission, String placedPool) {
			this.events.add("follows to " + placedPool);
		}

		@Override
		public String registrarPool(String jobId) {
			return JobRegistrarTests.this.registrarPool;
		}

		@Override
		public Optional<HostAddress> reachableOwner(String name) {
			boolean reachable = !JobRegistrarTests.this.unreachable.contains(name)
					&& JobRegistrarTests.this.owners.get(name) != this;
			return reachable ? owner(name) : Optional.empty();
		}

		@Override
		public Optional<HostAddress> owner(String name) {
			return Optional.of(address(name));
		}

		@Override
		public Set<HostAddress> reachableOwners() {
			return JobRegistrarTests.this.owners.keySet()
				.stream()
				.flatMap((name) -> reachableOwner(name).stream())
				.filter((address) -> !address.equals(address(this.pool)))
				.collect(Collectors.toSet());
		}

		@Override
		public boolean isOwner(HostAddress host) {
			return Stream.of("d1", "d2", "d3").map(Owner::address).anyMatch(host::equals);
		}

		@Override
		public boolean mayRunAtLostOwner(long receivedMillis) {
			return this.lostOwnerMayRun;
		}

		@Override
		public long contactSinceMillis() {
			return Long.MIN_VALUE / 2;
		}

		@Override
		public CompletableFuture<PeerMessage> register(HostAddress to, JobRegistration registration) {
			String name = JobRegistrarTests.this.owners.keySet()
				.stream()
				.filter((key) -> address(key).equals(to))
				.findFirst()
				.orElseThrow();
			CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
			JobRegistrarTests.this.time.after(LATENCY_MICROS, () -> {
				PeerMessage message = JobRegistrarTests.this.owners.get(name).answer(address(this.pool), registration);
				JobRegistrarTests.this.time.after(LATENCY_MICROS, () -> answer.complete(message));
			});
			return answer;
		}

	}

}
