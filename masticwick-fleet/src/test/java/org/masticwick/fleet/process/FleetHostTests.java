package org.masticwick.fleet.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.LoggerFactory;

import org.masticwick.fleet.connection.HttpReply;
import org.masticwick.fleet.connection.NewRecord;
import org.masticwick.fleet.connection.SharedTopic;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FleetHost}, with several hosts on loopback.
 */
class FleetHostTests {

	private static final long RUN_MILLIS = 150;

	private static final long LONG_ESTIMATE_MILLIS = 2_000;

	/** Three crashes, and the two further starts that the platform tolerates. */
	private static final int MAX_CRASHES_OF_A_TASK = 5;

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private final FleetSite site = new FleetSite(RUN_MILLIS);

	@AfterEach
	void close() {
		this.site.close();
	}

	private void startAll() {
		startAll(this.site);
	}

	private static void startAll(FleetSite site) {
		List.of("e1", "e2").forEach((id) -> site.listEndpoint(id, "d1", true));
		List.of("e3", "e4").forEach((id) -> site.listEndpoint(id, "d2", true));
		site.start("host-1", "d1");
		site.start("host-2", "d1");
		site.start("host-3", "d2");
		List.of("host-1", "host-2", "host-3").forEach(site::awaitReady);
	}

	private void awaitReady(String hostName) {
		Awaitility.await().atMost(TIMEOUT).until(() -> this.site.isReady(hostName));
	}

	// The number of waiting jobs is known once one host owns all pools, as in any small
	// site that has settled, and has read their jobs.
	private void awaitJobsRead(String hostName) {
		Awaitility.await()
			.atMost(TIMEOUT)
			.until(() -> claimOwner("d1").equals(claimOwner("d2"))
					&& this.site.call(hostName, "GET", "/q/", "").join().status() == 200);
	}

	private static String text(HttpReply reply) {
		return reply.status() + " " + new String(reply.body(), StandardCharsets.UTF_8);
	}

	private String submit(String hostName, String jobId) {
		return submit(this.site, hostName, jobId);
	}

	private static String submit(FleetSite site, String hostName, String jobId) {
		return text(site.submit(hostName, jobId, 2).orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join());
	}

	private void awaitCompletedJob(String hostName, String jobIdPrefix) {
		int[] nextNumber = new int[1];
		Awaitility.await()
			.atMost(TIMEOUT)
			.until(() -> submit(hostName, jobIdPrefix + nextNumber[0]++).equals("200 completed"));
	}

	private String claimOwner(String pool) {
		return this.site.claimOwner(pool);
	}

	@Nested
	class SitesThatStart {

		/**
		 * The first host to start used to claim the pools of all failure domains, as a
		 * site without endpoints passed for a small one.
		 */
		@Test
		void haveAnOwnerInEachFailureDomainUntilTheirEndpointsAreKnown() {
			FleetHostTests.this.site.start("host-1", "d1");
			FleetHostTests.this.site.start("host-3", "d2");
			Awaitility.await()
				.atMost(TIMEOUT)
				.until(() -> !claimOwner("d1").equals("none") && !claimOwner("d2").equals("none"));
			assertThat(claimOwner("d1")).isEqualTo("host-1");
			assertThat(claimOwner("d2")).isEqualTo("host-3");
		}

		/**
		 * A host that saw the first few endpoints of a large site used to claim all
		 * pools.
		 */
		@Test
		void haveAnOwnerInEachFailureDomainWhileTheirEndpointsRegister() {
			FleetHostTests.this.site.startForTheFirstTime();
			FleetHostTests.this.site.listEndpoint("e0", "d1", true);
			FleetHostTests.this.site.start("host-1", "d1");
			FleetHostTests.this.site.start("host-3", "d2");
			Awaitility.await()
				.atMost(TIMEOUT)
				.until(() -> !claimOwner("d1").equals("none") && !claimOwner("d2").equals("none"));
			IntStream.range(1, 200)
				.forEach((number) -> FleetHostTests.this.site.listEndpoint("e" + number, "d1", true));
			Awaitility.await()
				.pollDelay(Duration.ofSeconds(6))
				.atMost(TIMEOUT)
				.until(() -> claimOwner("d1").equals("host-1") && claimOwner("d2").equals("host-3"));
		}

		@Test
		void getOneOwnerWhenTheyTurnOutToBeSmall() {
			FleetHostTests.this.site.start("host-1", "d1");
			FleetHostTests.this.site.start("host-3", "d2");
			Awaitility.await().atMost(TIMEOUT).until(() -> !claimOwner("d2").equals("none"));
			FleetHostTests.this.site.listEndpoint("e1", "d1", true);
			Awaitility.await().atMost(TIMEOUT).until(() -> claimOwner("d1").equals(claimOwner("d2")));
		}

	}

	/**
	 * Records of other writers that can't be read. They used to be ignored without a log
	 * event while no valid one of their key was known.
	 */
	@Nested
	class OddRecords {

		private static final String ENDPOINT_SKIPPED = "Unreadable entry of an endpoint skipped; "
				+ "the previous one is used if there is one";

		private final ListAppender<ILoggingEvent> appender = new ListAppender<>();

		@BeforeEach
		void captureLogEvents() {
			this.appender.list = new CopyOnWriteArrayList<>();
			this.appender.start();
			((Logger) LoggerFactory.getLogger("org.masticwick.fleet")).addAppender(this.appender);
		}

		@AfterEach
		void detachAppender() {
			((Logger) LoggerFactory.getLogger("org.masticwick.fleet")).detachAppender(this.appender);
		}

		private void append(SharedTopic topic, String key, String value) {
			FleetHostTests.this.site.log().append(topic, List.of(FleetSite.record(key, value)));
		}

		private void appendOddRecords() {
			append(SharedTopic.ENDPOINTS, "odd", "nonsense");
			append(SharedTopic.ENDPOINTS, "e1", "nonsense");
			append(SharedTopic.ENDPOINTS, "odd-number", "d1,true,99999999999999999999");
			append(SharedTopic.MEMBERS, "host/odd", "nonsense");
			append(SharedTopic.MEMBERS, PoolOwnership.CLAIM_KEY_PREFIX + "d1", "nonsense");
			append(SharedTopic.OPERATORS, "version", "nonsense");
			append(SharedTopic.OPERATORS, "version", "99999999999999999999");
		}

		private long loggedCount(String thread, String message, String keyValue) {
			return this.appender.list.stream()
				.filter((event) -> event.getThreadName().equals(thread) && event.getMessage().equals(message))
				.filter((event) -> event.getKeyValuePairs().toString().contains(keyValue))
				.count();
		}

		private List<String> threads() {
			return this.appender.list.stream().map(ILoggingEvent::getThreadName).distinct().toList();
		}

		@Test
		void leaveTheOthersInUseAndAreLoggedOnce() {
			startAll();
			IntStream.range(0, 5).forEach((round) -> appendOddRecords());
			awaitCompletedJob("host-1", "a");
			awaitCompletedJob("host-3", "b");
			append(SharedTopic.ENDPOINTS, "odd", "nonsense");
			FleetHostTests.this.site.start("host-4", "d2");
			awaitReady("host-4");
			awaitCompletedJob("host-4", "c");
			Awaitility.await()
				.atMost(TIMEOUT)
				.until(() -> threads().stream().anyMatch((thread) -> loggedCount(thread, ENDPOINT_SKIPPED, "odd") > 0));
			threads().forEach((thread) -> {
				assertThat(loggedCount(thread, ENDPOINT_SKIPPED, "\"odd\"")).isLessThan(2);
				assertThat(loggedCount(thread,
						"Published version can't be parsed; ignoring it and keeping the active version", ""))
					.isLessThan(3);
				assertThat(loggedCount(thread, "Unreadable claim ignored; the owner of its pool stays the same", ""))
					.isLessThan(2);
			});
		}

	}

	@Nested
	class Serving {

		/**
		 * Each task must start once. A task that lags behind its estimate is started
		 * again elsewhere, so the estimate is far above the run time, as a busy machine
		 * may delay the start.
		 */
		@Test
		void answersJobsOfAnyHost() {
			try (FleetSite lenientSite = new FleetSite(RUN_MILLIS, LONG_ESTIMATE_MILLIS)) {
				startAll(lenientSite);
				assertThat(submit(lenientSite, "host-1", "j1")).isEqualTo("200 completed");
				assertThat(submit(lenientSite, "host-2", "j2")).isEqualTo("200 completed");
				assertThat(submit(lenientSite, "host-3", "j3")).isEqualTo("200 completed");
				assertThat(lenientSite.endpoints().startCount()).isEqualTo(6);
				assertThat(lenientSite.endpoints().concurrentlyRunTasks()).isEmpty();
			}
		}

		@ParameterizedTest
		@CsvSource({ "POST, /q/, 2, 400", "POST, /q/j, x, 400", "POST, /q/j, 2000000000, 400", "POST, /other/j, 2, 404",
				"GET, /q/j, '', 410", "DELETE, /q/j, '', 410", "GET, /q/, '', 200", "PATCH, /q/j, '', 405" })
		void answersInvalidAndUnknownRequestsDirectly(String method, String path, String body, int status) {
			startAll();
			awaitJobsRead("host-1");
			assertThat(FleetHostTests.this.site.call("host-1", method, path, body).join().status()).isEqualTo(status);
		}

		/**
		 * Hosts are ready before the owners have read the durable jobs of their pools. A
		 * job that may be among them must not be reported as unknown.
		 */
		@ParameterizedTest
		@ValueSource(strings = { "GET", "DELETE" })
		void reportsAJobAsUnknownOnlyAfterAllJobsWereRead(String method) {
			FleetHostTests.this.site.log().refuseJobReads();
			startAll();
			assertThat(FleetHostTests.this.site.call("host-1", method, "/q/j", "").join().status()).isEqualTo(503);
			FleetHostTests.this.site.log().acceptJobReads();
			awaitJobsRead("host-1");
			assertThat(FleetHostTests.this.site.call("host-1", method, "/q/j", "").join().status()).isEqualTo(410);
		}

		@Test
		void bodyAboveTheLimitIsRefused() {
			startAll();
			String body = "1".repeat(1_001);
			assertThat(FleetHostTests.this.site.call("host-1", "POST", "/q/j", body).join().status()).isEqualTo(413);
		}

		@Test
		void countsItsAnswers() {
			startAll();
			submit("host-1", "j1");
			assertThat(FleetHostTests.this.site.metrics("host-1"))
				.contains("masticwick_job_answers_total{outcome=\"COMPLETED\"} 1.0");
		}

		@Test
		void endpointsStayInUseRightAfterTheirEntriesExpire() {
			startAll();
			FleetHostTests.this.site.log()
				.append(SharedTopic.ENDPOINTS, Stream.of("e1", "e2", "e3", "e4").map(NewRecord::deletion).toList());
			long endMillis = Clock.nowMillis() + 1_200;
			int number = 0;
			while (Clock.nowMillis() < endMillis) {
				assertThat(submit("host-1", "j" + number++)).isEqualTo("200 completed");
			}
		}

		@Test
		void unreadableRecordsAreIgnored() {
			startAll();
			FleetHostTests.this.site.log()
				.append(SharedTopic.OPERATORS, List.of(FleetSite.record("version", "nonsense")));
			FleetHostTests.this.site.log().append(SharedTopic.ENDPOINTS, List.of(FleetSite.record("e9", "nonsense")));
			assertThat(submit("host-1", "j1")).isEqualTo("200 completed");
		}

	}

	@Nested
	class Stopping {

		@Test
		void handsRunningJobsToAnotherHost() {
			startAll();
			List<CompletableFuture<HttpReply>> jobs = IntStream.range(0, 12)
				.mapToObj((number) -> FleetHostTests.this.site.submit("host-" + (1 + number % 3), "j" + number, 1))
				.toList();
			Awaitility.await().atMost(TIMEOUT).until(() -> FleetHostTests.this.site.endpoints().runningCount() > 0);
			FleetHostTests.this.site.stopGracefully("host-1");
			jobs.forEach(
					(job) -> assertThat(text(job.orTimeout(20, TimeUnit.SECONDS).join())).isEqualTo("200 completed"));
			assertThat(FleetHostTests.this.site.endpoints().concurrentlyRunTasks()).isEmpty();
			awaitCompletedJob("host-2", "after-");
		}

	}

	@Nested
	class HandoversThatGoWrong {

		private void startTwoHosts() {
			FleetHostTests.this.site.listEndpoint("e1", "d1", true);
			FleetHostTests.this.site.start("host-1", "d1");
			awaitReady("host-1");
			FleetHostTests.this.site.start("host-2", "d1");
			awaitReady("host-2");
		}

		/**
		 * The new owner used to continue jobs as they were when they were handed over,
		 * although the previous one had resumed and answered them before the claim. A
		 * claim may also be late enough to meet the next attempt.
		 */
		@ParameterizedTest
		@ValueSource(longs = { 500, 702, 710, 800 })
		void runNoTaskAgainThatThePreviousOwnerHasResumed(long delayMillis) {
			startTwoHosts();
			FleetHostTests.this.site.log().delayAppends("host-2", delayMillis);
			CompletableFuture<HttpReply> job = FleetHostTests.this.site.submit("host-1", "j1", 1);
			Awaitility.await().atMost(TIMEOUT).until(() -> FleetHostTests.this.site.endpoints().runningCount() > 0);
			FleetHostTests.this.site.stopGracefully("host-1");
			assertThat(text(job.orTimeout(20, TimeUnit.SECONDS).join())).isEqualTo("200 completed");
			Awaitility.await().atMost(TIMEOUT).until(() -> claimOwner("d1").equals("host-2"));
			awaitCompletedJob("host-2", "after-");
			assertThat(FleetHostTests.this.site.endpoints().restartedTasks()).isEmpty();
		}

		/**
		 * An endpoint in the list of the previous owner used to stay with the new one for
		 * good, although its entry had been deleted.
		 */
		@Test
		void useNoEndpointThatHasLeft() {
			startTwoHosts();
			FleetHostTests.this.site.listEndpoint("e2", "d1", true);
			Awaitility.await().atMost(TIMEOUT).until(() -> FleetHostTests.this.site.endpoints().renewalCount("e2") > 0);
			FleetHostTests.this.site.log().append(SharedTopic.ENDPOINTS, List.of(NewRecord.deletion("e2")));
			FleetHostTests.this.site.stopGracefully("host-1");
			Awaitility.await().atMost(TIMEOUT).until(() -> claimOwner("d1").equals("host-2"));
			Awaitility.await()
				.atMost(TIMEOUT)
				.during(Duration.ofMillis(1_000))
				.until(new RenewalsStopped(FleetHostTests.this.site.endpoints(), "e2"));
			assertThat(submit("host-2", "after")).isEqualTo("200 completed");
		}

	}

	/**
	 * Tells whether an endpoint got no renewal since the last call.
	 */
	private static final class RenewalsStopped implements Callable<Boolean> {

		private final InMemoryEndpoints endpoints;

		private final String endpointId;

		private int lastCount = -1;

		private RenewalsStopped(InMemoryEndpoints endpoints, String endpointId) {
			this.endpoints = endpoints;
			this.endpointId = endpointId;
		}

		@Override
		public Boolean call() {
			int count = this.endpoints.renewalCount(this.endpointId);
			boolean stopped = count == this.lastCount;
			this.lastCount = count;
			return stopped;
		}

	}

	@Nested
	class StoppingLate {

		private final FleetSite site = new FleetSite(5_000);

		@AfterEach
		void close() {
			this.site.close();
		}

		@Test
		void refusesLateJobsAndAnswersAcceptedOnes() {
			this.site.listEndpoint("e1", "d1", true);
			this.site.start("host-1", "d1");
			this.site.start("host-2", "d1");
			Awaitility.await().atMost(TIMEOUT).until(() -> this.site.isReady("host-1") && this.site.isReady("host-2"));
			CompletableFuture<HttpReply> acceptedJob = this.site.submit("host-1", "j1", 1);
			Awaitility.await().atMost(TIMEOUT).until(() -> this.site.endpoints().runningCount() > 0);
			this.site.stopGracefully("host-1");
			Awaitility.await().pollDelay(Duration.ofMillis(2_700)).until(() -> true);
			assertThat(this.site.submit("host-1", "late", 1).join().status()).isEqualTo(503);
			assertThat(text(acceptedJob.orTimeout(20, TimeUnit.SECONDS).join())).isEqualTo("200 completed");
		}

	}

	@Nested
	class Failures {

		@Test
		void anotherHostAssumesOwnershipAndRunsNoTaskTwice() {
			startAll();
			List<CompletableFuture<HttpReply>> jobs = IntStream.range(0, 6)
				.mapToObj((number) -> FleetHostTests.this.site.submit("host-3", "j" + number, 1))
				.toList();
			Awaitility.await().atMost(TIMEOUT).until(() -> FleetHostTests.this.site.endpoints().runningCount() > 0);
			FleetHostTests.this.site.kill("host-1");
			jobs.forEach((job) -> assertThat(job.orTimeout(20, TimeUnit.SECONDS).join().status()).isIn(200, 502, 503));
			awaitCompletedJob("host-2", "after-");
			awaitCompletedJob("host-3", "then-");
			assertThat(FleetHostTests.this.site.endpoints().concurrentlyRunTasks()).isEmpty();
		}

		@Test
		void standbyAssumesOwnershipWithoutTheLog() {
			startAll();
			List.of("host-2", "host-3").forEach(FleetHostTests.this.site.log()::disconnect);
			FleetHostTests.this.site.kill("host-1");
			awaitCompletedJob("host-2", "after-");
			awaitCompletedJob("host-3", "then-");
			assertThat(FleetHostTests.this.site.endpoints().concurrentlyRunTasks()).isEmpty();
		}

		/**
		 * Each owner used to count from zero, so that a task took down endpoints under
		 * one owner after another.
		 */
		@Test
		void aTaskThatCrashesEndpointsIsBoundedAcrossOwners() {
			startAll();
			List.of("host-4", "host-5", "host-6").forEach((name) -> {
				FleetHostTests.this.site.start(name, "d1");
				awaitReady(name);
			});
			InMemoryEndpoints endpoints = FleetHostTests.this.site.endpoints();
			endpoints.crashUnder((task) -> task.jobId().equals("deadly"));
			String answer = "";
			for (int owner = 0; owner < 4 && !answer.equals("200 failed"); owner++) {
				int crashCount = endpoints.crashingRuns().size() + 2;
				answer = submitUntil("deadly", () -> endpoints.crashingRuns().size() >= crashCount);
				if (!answer.equals("200 failed")) {
					// The loss that led to the second start has been sent to the peers by
					// then.
					Awaitility.await().pollDelay(Duration.ofMillis(150)).until(() -> true);
					FleetHostTests.this.site.kill(claimOwner("d1"));
				}
			}
			assertThat(answer).isEqualTo("200 failed");
			assertThat(endpoints.crashingRuns()).hasSizeLessThanOrEqualTo(MAX_CRASHES_OF_A_TASK);
		}

		// Submits a job again and again, as callers do, until it has failed or the
		// condition holds.
		private String submitUntil(String jobId, BooleanSupplier condition) {
			CompletableFuture<HttpReply> reply = CompletableFuture.completedFuture(null);
			String answer = "";
			long endMillis = Clock.nowMillis() + TIMEOUT.toMillis();
			while (!answer.equals("200 failed") && !condition.getAsBoolean() && Clock.nowMillis() < endMillis) {
				if (reply.isDone()) {
					reply = FleetHostTests.this.site.submit(anyOtherHost(), jobId, 1);
				}
				Awaitility.await().pollDelay(Duration.ofMillis(20)).until(() -> true);
				answer = (reply.isDone() && !reply.isCompletedExceptionally()) ? text(reply.join()) : "";
			}
			return answer;
		}

		private String anyOtherHost() {
			return FleetHostTests.this.site.hostNames()
				.stream()
				.filter((name) -> !name.equals(claimOwner("d1")))
				.findFirst()
				.orElseThrow();
		}

		/**
		 * A standby reads the endpoint list rarely, and its capacities may be out of date
		 * when it assumes ownership.
		 */
		@Test
		void anotherHostExceedsNoCapacityThatHasShrunk() {
			FleetHostTests.this.site.listEndpoint("e1", "d1", 8_000);
			FleetHostTests.this.site.start("host-1", "d1");
			awaitReady("host-1");
			FleetHostTests.this.site.start("host-2", "d1");
			awaitReady("host-2");
			Awaitility.await()
				.atMost(TIMEOUT)
				.until(() -> FleetHostTests.this.site.log().endpointLoadCount("host-2") >= 2);
			FleetHostTests.this.site.log().delayEndpointLoads("host-2", 250);
			FleetHostTests.this.site.listEndpoint("e1", "d1", 1_000);
			FleetHostTests.this.site.kill("host-1");
			awaitCompletedJob("host-2", "after-");
			assertThat(FleetHostTests.this.site.endpoints().maxRunningCount("e1")).isEqualTo(1);
		}

		@Test
		void poolsHaveASingleOwnerAgainAfterTheLogReturns() {
			startAll();
			List.of("host-2", "host-3").forEach(FleetHostTests.this.site.log()::disconnect);
			FleetHostTests.this.site.kill("host-1");
			awaitCompletedJob("host-3", "after-");
			List.of("host-2", "host-3").forEach(FleetHostTests.this.site.log()::reconnect);
			awaitCompletedJob("host-2", "then-");
			awaitCompletedJob("host-3", "at-last-");
			assertThat(FleetHostTests.this.site.endpoints().concurrentlyRunTasks()).isEmpty();
		}

		@Test
		void hostWithoutTheLogFollowsVersionsThroughItsPeers() {
			startAll();
			FleetHostTests.this.site.log().disconnect("host-3");
			FleetHostTests.this.site.publish(7);
			assertThat(submit("host-3", "j1")).isEqualTo("200 completed");
		}

	}

}
