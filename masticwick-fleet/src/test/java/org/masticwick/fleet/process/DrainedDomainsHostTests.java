package org.masticwick.fleet.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.masticwick.fleet.connection.HttpReply;
import org.masticwick.fleet.connection.SharedTopic;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for drained failure domains, with several hosts on loopback. Endpoints run up to
 * eight tasks at a time; one host owns the pools of both domains unless a test says
 * otherwise.
 */
class DrainedDomainsHostTests {

	/** Long enough for a drain to arrive while runs last, also on a busy machine. */
	private static final long RUN_MILLIS = 800;

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	/** In steady state an owner knows of a change within this time. */
	private static final Duration STEADY_LIMIT = Duration.ofSeconds(1);

	private static final int SITE_TASK_COUNT = 32;

	private static final int DOMAIN_TASK_COUNT = 16;

	private static final List<String> HOST_NAMES = List.of("host-1", "host-2", "host-3");

	private final FleetSite site = new FleetSite(RUN_MILLIS, RUN_MILLIS);

	@AfterEach
	void close() {
		this.site.close();
	}

	private void listEndpoints() {
		List.of("e1", "e2").forEach((id) -> this.site.listEndpoint(id, "d1", true));
		List.of("e3", "e4").forEach((id) -> this.site.listEndpoint(id, "d2", true));
	}

	private void startHosts() {
		this.site.start("host-1", "d1");
		this.site.start("host-2", "d1");
		this.site.start("host-3", "d2");
		HOST_NAMES.forEach(this::awaitReady);
	}

	private void startAll() {
		listEndpoints();
		startHosts();
	}

	private void awaitReady(String hostName) {
		Awaitility.await().atMost(TIMEOUT).until(() -> this.site.isReady(hostName));
	}

	private static String text(CompletableFuture<HttpReply> job) {
		HttpReply reply = job.orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
		return reply.status() + " " + new String(reply.body(), StandardCharsets.UTF_8);
	}

	private void awaitDrainedCount(String hostName, int count) {
		Awaitility.await()
			.pollInterval(Duration.ofMillis(20))
			.atMost(STEADY_LIMIT)
			.until(() -> this.site.metrics(hostName).contains("masticwick_drained_domains " + count + ".0"));
	}

	private void awaitDrainedCount(int count) {
		this.site.hostNames().forEach((name) -> awaitDrainedCount(name, count));
	}

	private int startCountInD1() {
		return this.site.endpoints().startCount("e1") + this.site.endpoints().startCount("e2");
	}

	private int startCountInD2() {
		return this.site.endpoints().startCount("e3") + this.site.endpoints().startCount("e4");
	}

	private void awaitStartCountInD1(int count) {
		Awaitility.await().atMost(TIMEOUT).until(() -> startCountInD1() >= count);
	}

	private void pause(long millis) {
		Awaitility.await().pollDelay(Duration.ofMillis(millis)).until(() -> true);
	}

	private String claimOwner(String pool) {
		return this.site.claimOwner(pool);
	}

	@Nested
	class Draining {

		/**
		 * Guards against starts in the drained domain while it has the only free
		 * endpoints, against runs there that are stopped or not answered, and against a
		 * domain that stays drained.
		 */
		@Test
		void startsNothingThereWhileRunsFinishAndAreAnswered() {
			startAll();
			CompletableFuture<HttpReply> running = DrainedDomainsHostTests.this.site.submit("host-2", "running",
					SITE_TASK_COUNT);
			awaitStartCountInD1(DOMAIN_TASK_COUNT);
			DrainedDomainsHostTests.this.site.drain("d1");
			awaitDrainedCount(1);
			assertThat(text(running)).isEqualTo("200 completed");
			assertThat(startCountInD1()).isEqualTo(DOMAIN_TASK_COUNT);
			List<CompletableFuture<HttpReply>> jobs = IntStream.range(0, 6)
				.mapToObj((number) -> DrainedDomainsHostTests.this.site
					.submit(HOST_NAMES.get(number % HOST_NAMES.size()), "j" + number, 4))
				.toList();
			jobs.forEach((job) -> assertThat(text(job)).isIn("200 completed", "503 "));
			assertThat(jobs.stream().map(DrainedDomainsHostTests::text).filter("200 completed"::equals))
				.hasSizeGreaterThanOrEqualTo(4);
			assertThat(startCountInD1()).isEqualTo(DOMAIN_TASK_COUNT);
			assertThat(startCountInD2()).isGreaterThanOrEqualTo(2 * DOMAIN_TASK_COUNT);
			DrainedDomainsHostTests.this.site.returnToService("d1");
			awaitDrainedCount(0);
			assertThat(text(DrainedDomainsHostTests.this.site.submit("host-1", "after", SITE_TASK_COUNT)))
				.isEqualTo("200 completed");
			assertThat(startCountInD1()).isGreaterThanOrEqualTo(2 * DOMAIN_TASK_COUNT);
		}

		/**
		 * Guards against a restart in the drained domain after the endpoint there crashed
		 * under the run.
		 */
		@Test
		void restartsLostRunsElsewhere() {
			startAll();
			CompletableFuture<HttpReply> filling = DrainedDomainsHostTests.this.site.submit("host-1", "filling",
					DOMAIN_TASK_COUNT);
			Awaitility.await().atMost(TIMEOUT).until(() -> startCountInD1() + startCountInD2() == DOMAIN_TASK_COUNT);
			String domain = (startCountInD1() > 0) ? "d1" : "d2";
			DrainedDomainsHostTests.this.site.drain(domain);
			awaitDrainedCount(1);
			int startCount = domain.equals("d1") ? startCountInD1() : startCountInD2();
			List.of("e1", "e2", "e3", "e4").forEach((id) -> {
				if (domain.equals(List.of("e1", "e2").contains(id) ? "d1" : "d2")) {
					DrainedDomainsHostTests.this.site.endpoints().crash(id);
				}
			});
			assertThat(text(filling)).isEqualTo("200 completed");
			assertThat(domain.equals("d1") ? startCountInD1() : startCountInD2()).isEqualTo(startCount);
			assertThat(DrainedDomainsHostTests.this.site.endpoints().startCount()).isGreaterThan(DOMAIN_TASK_COUNT);
		}

		/**
		 * Guards against jobs that wait until their callers give up, as the backlog of a
		 * site without capacity reads zero.
		 */
		@Test
		void ofAllDomainsRefusesJobsAtOnce() {
			startAll();
			List.of("d1", "d2").forEach(DrainedDomainsHostTests.this.site::drain);
			awaitDrainedCount(2);
			long submittedMillis = Clock.nowMillis();
			HttpReply reply = DrainedDomainsHostTests.this.site.submit("host-3", "j", 2).join();
			assertThat(reply.status()).isEqualTo(503);
			assertThat(Clock.nowMillis() - submittedMillis).isLessThan(500);
			assertThat(DrainedDomainsHostTests.this.site.endpoints().startCount()).isZero();
			DrainedDomainsHostTests.this.site.returnToService("d2");
			awaitDrainedCount(1);
			assertThat(text(DrainedDomainsHostTests.this.site.submit("host-3", "after", 2))).isEqualTo("200 completed");
		}

		/**
		 * Guards against a host that keeps a state between two changes. Tasks would be
		 * placed in the first domain if it were in service.
		 */
		@Test
		void twiceWithinASecondLeadsToTheLastState() {
			startAll();
			DrainedDomainsHostTests.this.site.drain("d2");
			pause(150);
			DrainedDomainsHostTests.this.site.returnToService("d2");
			pause(150);
			DrainedDomainsHostTests.this.site.drain("d2");
			DrainedDomainsHostTests.this.site.returnToService("d2");
			DrainedDomainsHostTests.this.site.drain("d1");
			DrainedDomainsHostTests.this.site.returnToService("d1");
			DrainedDomainsHostTests.this.site.drain("d1");
			pause(STEADY_LIMIT.toMillis());
			awaitDrainedCount(1);
			assertThat(text(DrainedDomainsHostTests.this.site.submit("host-1", "j", DOMAIN_TASK_COUNT)))
				.isEqualTo("200 completed");
			assertThat(startCountInD2()).isGreaterThanOrEqualTo(DOMAIN_TASK_COUNT);
			assertThat(startCountInD1()).isZero();
		}

		@Test
		void byAMalformedKeyDoesNoHarm() {
			startAll();
			DrainedDomainsHostTests.this.site.log()
				.append(SharedTopic.OPERATORS, List.of(FleetSite.record(FleetSite.DRAIN_KEY_PREFIX, "{}"),
						FleetSite.record("", "{}"), FleetSite.record("other", "nonsense")));
			DrainedDomainsHostTests.this.site.drain("d1");
			awaitDrainedCount(1);
			assertThat(text(DrainedDomainsHostTests.this.site.submit("host-1", "j", 2))).isEqualTo("200 completed");
		}

	}

	@Nested
	class Failures {

		/**
		 * Guards against an owner that goes on in a drained domain because the log
		 * refuses it.
		 */
		@Test
		void hostsThatTheLogRefusesLearnFromPeers() {
			startAll();
			String owner = claimOwner("d1");
			DrainedDomainsHostTests.this.site.log().disconnect(owner);
			pause(STEADY_LIMIT.toMillis());
			DrainedDomainsHostTests.this.site.drain("d1");
			awaitDrainedCount(owner, 1);
			assertThat(text(DrainedDomainsHostTests.this.site.submit(owner, "j", DOMAIN_TASK_COUNT)))
				.isEqualTo("200 completed");
			assertThat(startCountInD1()).isZero();
		}

		/**
		 * The state is in the log only: guards against hosts that start tasks before they
		 * have read it.
		 */
		@Test
		void ofAllHostsKeepTheDomainDrained() {
			startAll();
			DrainedDomainsHostTests.this.site.drain("d1");
			HOST_NAMES.forEach(DrainedDomainsHostTests.this.site::kill);
			startHosts();
			int[] number = new int[1];
			Awaitility.await()
				.atMost(TIMEOUT)
				.until(() -> text(
						DrainedDomainsHostTests.this.site.submit("host-1", "j" + number[0]++, DOMAIN_TASK_COUNT))
					.equals("200 completed"));
			assertThat(startCountInD1()).isZero();
		}

		/**
		 * Guards against an owner that takes an unknown set for an empty one. It knows
		 * the stored jobs before it can read what operators have written.
		 */
		@Test
		void ofReadingTheOperatorsTopicDelayAllStarts() {
			int taskCount = SITE_TASK_COUNT + 8;
			startAll();
			Awaitility.await()
				.atMost(TIMEOUT)
				.until(() -> DrainedDomainsHostTests.this.site.call("host-1", "POST", "/q/durable", "d" + taskCount)
					.join()
					.status() == 200);
			HOST_NAMES.forEach(DrainedDomainsHostTests.this.site::kill);
			List.of("d1", "d2").forEach(DrainedDomainsHostTests.this.site::drain);
			pause(3 * RUN_MILLIS);
			int startCount = DrainedDomainsHostTests.this.site.endpoints().startCount();
			assertThat(startCount).isLessThan(taskCount);
			DrainedDomainsHostTests.this.site.log().refuseReads(SharedTopic.OPERATORS);
			DrainedDomainsHostTests.this.site.start("host-1", "d1");
			DrainedDomainsHostTests.this.site.start("host-3", "d2");
			pause(4_000);
			assertThat(Stream.of("host-1", "host-3").map(DrainedDomainsHostTests.this.site::metrics))
				.anyMatch((metrics) -> !metrics.contains("masticwick_pool_claims_total 0.0"));
			assertThat(DrainedDomainsHostTests.this.site.endpoints().startCount()).isEqualTo(startCount);
			DrainedDomainsHostTests.this.site.log().acceptReads(SharedTopic.OPERATORS);
			awaitDrainedCount(2);
			pause(500);
			assertThat(DrainedDomainsHostTests.this.site.endpoints().startCount()).isEqualTo(startCount);
			List.of("d1", "d2").forEach(DrainedDomainsHostTests.this.site::returnToService);
			Awaitility.await()
				.atMost(TIMEOUT)
				.until(() -> DrainedDomainsHostTests.this.site.endpoints().doneCount() == taskCount);
		}

	}

	@Nested
	class Handovers {

		/**
		 * Guards against a next owner that starts the waiting tasks of adopted jobs in
		 * the drained domain, and against runs there that it stops or does not answer.
		 */
		@Test
		void startNothingInTheDrainedDomain() {
			startAll();
			String owner = claimOwner("d1");
			String other = owner.equals("host-1") ? "host-2" : "host-1";
			CompletableFuture<HttpReply> running = DrainedDomainsHostTests.this.site.submit(other, "running",
					SITE_TASK_COUNT + 4);
			awaitStartCountInD1(DOMAIN_TASK_COUNT);
			DrainedDomainsHostTests.this.site.drain("d1");
			awaitDrainedCount(1);
			DrainedDomainsHostTests.this.site.stopGracefully(owner);
			assertThat(text(running)).isEqualTo("200 completed");
			Awaitility.await().atMost(TIMEOUT).until(() -> !claimOwner("d1").equals(owner));
			assertThat(text(DrainedDomainsHostTests.this.site.submit(other, "after", DOMAIN_TASK_COUNT)))
				.isEqualTo("200 completed");
			assertThat(startCountInD1()).isEqualTo(DOMAIN_TASK_COUNT);
			assertThat(startCountInD2()).isGreaterThanOrEqualTo(2 * DOMAIN_TASK_COUNT + 4);
			assertThat(DrainedDomainsHostTests.this.site.endpoints().restartedTasks()).isEmpty();
		}

	}

	@Nested
	class SitesWithAnOwnerForEachDomain {

		/** Too few for one host to own all endpoints. */
		private static final int PROCESSOR_MILLICORES = 40;

		/**
		 * Guards against callers' hosts that send jobs to the drained pool of their own
		 * domain, where they would be refused while the other pool is busy.
		 */
		@Test
		void sendJobsOfTheDrainedDomainToOtherPools() {
			listEndpoints();
			DrainedDomainsHostTests.this.site.start("host-1", "d1", PROCESSOR_MILLICORES);
			DrainedDomainsHostTests.this.site.start("host-2", "d1", PROCESSOR_MILLICORES);
			DrainedDomainsHostTests.this.site.start("host-3", "d2", PROCESSOR_MILLICORES);
			HOST_NAMES.forEach(DrainedDomainsHostTests.this::awaitReady);
			Awaitility.await()
				.atMost(TIMEOUT)
				.until(() -> !claimOwner("d1").equals("none") && claimOwner("d2").equals("host-3"));
			assertThat(claimOwner("d1")).isNotEqualTo("host-3");
			DrainedDomainsHostTests.this.site.drain("d1");
			awaitDrainedCount(1);
			IntStream.range(0, 6)
				.forEach((number) -> assertThat(
						text(DrainedDomainsHostTests.this.site.submit("host-" + (1 + number % 2), "j" + number, 4)))
					.isEqualTo("200 completed"));
			assertThat(startCountInD1()).isZero();
			assertThat(startCountInD2()).isGreaterThanOrEqualTo(6 * 4);
		}

	}

}
