package org.masticwick.fleet.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.pool.TaskRun;
import org.masticwick.fleet.connection.HttpReply;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for durable jobs, with several hosts on loopback.
 */
class DurableHostTests {

	private static final long RUN_MILLIS = 250;

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final List<String> HOST_NAMES = List.of("host-1", "host-2", "host-3");

	private final FleetSite site = new FleetSite(RUN_MILLIS);

	@BeforeEach
	void startAll() {
		List.of("e1", "e2").forEach((id) -> this.site.listEndpoint(id, "d1", true));
		List.of("e3", "e4").forEach((id) -> this.site.listEndpoint(id, "d2", true));
		this.site.start("host-1", "d1");
		this.site.start("host-2", "d1");
		this.site.start("host-3", "d2");
		HOST_NAMES.forEach(this::awaitReady);
		Awaitility.await().atMost(TIMEOUT).until(() -> request("host-1", "GET", "none").startsWith("410"));
	}

	@AfterEach
	void close() {
		this.site.close();
	}

	private void awaitReady(String hostName) {
		Awaitility.await().atMost(TIMEOUT).until(() -> this.site.isReady(hostName));
	}

	private static String text(HttpReply reply) {
		return (reply.status() + " " + new String(reply.body(), StandardCharsets.UTF_8)).strip();
	}

	private String request(String hostName, String method, String jobId) {
		return text(this.site.call(hostName, method, "/q/" + jobId, "").orTimeout(20, TimeUnit.SECONDS).join());
	}

	private String submit(String hostName, String jobId, int taskCount) {
		return text(this.site.call(hostName, "POST", "/q/" + jobId, "d" + taskCount)
			.orTimeout(20, TimeUnit.SECONDS)
			.join());
	}

	private void awaitStatus(String hostName, String jobId, String status) {
		Awaitility.await().atMost(TIMEOUT).until(() -> request(hostName, "GET", jobId).equals("200 " + status));
	}

	private List<String> submitJobs(int count) {
		List<String> jobIds = IntStream.range(0, count).mapToObj((number) -> "job-" + number).toList();
		jobIds.forEach((jobId) -> assertThat(submit("host-2", jobId, 2)).isEqualTo("200 PENDING"));
		return jobIds;
	}

	private void assertNoTaskRanTwice() {
		assertThat(this.site.endpoints().concurrentlyRunTasks()).isEmpty();
		assertThat(this.site.endpoints().restartedTasks()).isEmpty();
	}

	@Nested
	class Queries {

		@Test
		void anyHostAnswersTheStatus() {
			submit("host-1", "j1", 2);
			HOST_NAMES.forEach((host) -> awaitStatus(host, "j1", "COMPLETED"));
			assertNoTaskRanTwice();
		}

		@ParameterizedTest
		@ValueSource(strings = { "GET", "DELETE" })
		void unsubmittedJobIsUnknown(String method) {
			HOST_NAMES.forEach((host) -> assertThat(request(host, method, "other")).isEqualTo("410"));
		}

		/**
		 * Guards against a record whose key is longer than its length field can tell,
		 * which spoils the append.
		 */
		@Test
		void idThatIsTooLongForTheLogNamesNoJob() {
			String jobId = "x".repeat(201);
			assertThat(submit("host-1", jobId, 2)).startsWith("400");
			assertThat(request("host-1", "DELETE", jobId)).isEqualTo("410");
			submit("host-1", "j1", 2);
			awaitStatus("host-1", "j1", "COMPLETED");
		}

		/**
		 * A cancellation that stops no run would leave the tasks running to their end.
		 */
		@Test
		void cancelledJobIsStopped() {
			InMemoryEndpoints endpoints = DurableHostTests.this.site.endpoints();
			endpoints.holdRuns();
			submit("host-1", "j1", 2);
			Awaitility.await().atMost(TIMEOUT).until(() -> endpoints.runningCount() == 2);
			Set<TaskRun> running = endpoints.runningRuns();
			assertThat(request("host-3", "DELETE", "j1")).isEqualTo("200 CANCELLED");
			assertThat(request("host-2", "GET", "j1")).isEqualTo("200 CANCELLED");
			Awaitility.await().atMost(TIMEOUT).until(() -> endpoints.runningCount() == 0);
			assertThat(endpoints.stoppedRuns()).containsAll(running);
			assertThat(endpoints.doneCount()).isZero();
		}

		@Test
		void waitingJobsAreCounted() {
			assertThat(request("host-3", "GET", "")).isEqualTo("200 0");
		}

	}

	@Nested
	class Resubmission {

		@Test
		void doesNotStartTheJobAgainOnAnyHost() {
			HOST_NAMES.forEach((host) -> assertThat(submit(host, "j1", 2)).isEqualTo("200 PENDING"));
			awaitStatus("host-1", "j1", "COMPLETED");
			assertThat(submit("host-3", "j1", 2)).isEqualTo("200 PENDING");
			assertThat(DurableHostTests.this.site.endpoints().startCount()).isEqualTo(2);
		}

	}

	/**
	 * Guards against the jobs of a pool without endpoints waiting for good, although its
	 * owner has those of other pools.
	 */
	@Nested
	class APoolWithoutEndpoints {

		private List<String> jobIds;

		@BeforeEach
		void removeItsEndpoints() {
			FleetSite site = DurableHostTests.this.site;
			List.of("e3", "e4").forEach(site::unlistEndpoint);
			Awaitility.await().atMost(TIMEOUT).pollDelay(Duration.ofSeconds(5)).until(() -> true);
			this.jobIds = submitJobs(6);
		}

		@Test
		void hasItsJobsRunOnTheEndpointsOfOtherPools() {
			this.jobIds.forEach((jobId) -> awaitStatus("host-2", jobId, "COMPLETED"));
			assertNoTaskRanTwice();
		}

		@Test
		void hasItsJobsRunOnceAtATimeAsItsOwnerIsLost() {
			DurableHostTests.this.site.kill("host-1");
			this.jobIds.forEach((jobId) -> awaitStatus("host-3", jobId, "COMPLETED"));
			assertThat(DurableHostTests.this.site.endpoints().concurrentlyRunTasks()).isEmpty();
		}

	}

	@Nested
	class Failures {

		@Test
		void nextOwnerResumesTheJobs() {
			List<String> jobIds = submitJobs(6);
			DurableHostTests.this.site.kill("host-1");
			jobIds.forEach((jobId) -> awaitStatus("host-3", jobId, "COMPLETED"));
			assertNoTaskRanTwice();
		}

		// An endpoint that had registered after the next owner last loaded the list was
		// not
		// asked for its runs, and their tasks were started again.
		@Test
		void nextOwnerStartsNoTaskThatRunsOnAnEndpointThatIsNewToIt() {
			FleetSite site = DurableHostTests.this.site;
			site.start("host-4", "d1");
			awaitReady("host-4");
			List<String> standbys = List.of("host-2", "host-3", "host-4");
			Awaitility.await()
				.atMost(TIMEOUT)
				.until(() -> standbys.stream().allMatch((name) -> site.log().endpointLoadCount(name) >= 2));
			startJobOnANewEndpoint("e5");
			standbys.forEach((name) -> site.log().delayEndpointLoads(name, 150));
			site.kill("host-1");
			awaitStatus("host-3", "j1", "COMPLETED");
			assertNoTaskRanTwice();
		}

		private void startJobOnANewEndpoint(String endpointId) {
			FleetSite site = DurableHostTests.this.site;
			resizeUsualEndpoints(500);
			site.listEndpoint(endpointId, "d1", true);
			Awaitility.await().atMost(TIMEOUT).until(() -> site.endpoints().renewalCount(endpointId) > 0);
			assertThat(submit("host-2", "j1", 2)).isEqualTo("200 PENDING");
			Awaitility.await().atMost(TIMEOUT).until(() -> site.endpoints().startCount(endpointId) == 2);
			resizeUsualEndpoints(8_000);
		}

		private void resizeUsualEndpoints(long cpuMillicores) {
			FleetSite site = DurableHostTests.this.site;
			List.of("e1", "e2").forEach((id) -> site.listEndpoint(id, "d1", cpuMillicores));
			List.of("e3", "e4").forEach((id) -> site.listEndpoint(id, "d2", cpuMillicores));
		}

		@Test
		void lossOfAllHostsOfAFailureDomainLosesNoJob() {
			List<String> jobIds = submitJobs(6);
			List.of("host-1", "host-2").forEach(DurableHostTests.this.site::kill);
			jobIds.forEach((jobId) -> awaitStatus("host-3", jobId, "COMPLETED"));
			assertThat(DurableHostTests.this.site.endpoints().concurrentlyRunTasks()).isEmpty();
		}

		@Test
		void lossOfAllHostsLosesNoJob() {
			List<String> jobIds = submitJobs(6);
			HOST_NAMES.forEach(DurableHostTests.this.site::kill);
			DurableHostTests.this.site.start("host-4", "d1");
			DurableHostTests.this.site.start("host-5", "d2");
			awaitReady("host-4");
			jobIds.forEach((jobId) -> awaitStatus("host-4", jobId, "COMPLETED"));
			assertNoTaskRanTwice();
		}

		@Test
		void plannedStopHandsJobsOver() {
			List<String> jobIds = submitJobs(6);
			DurableHostTests.this.site.stopGracefully("host-1");
			jobIds.forEach((jobId) -> awaitStatus("host-3", jobId, "COMPLETED"));
			assertNoTaskRanTwice();
		}

		@Test
		void logOutageRefusesNewJobsAndKeepsRunsGoing() {
			submit("host-1", "j1", 2);
			HOST_NAMES.forEach(DurableHostTests.this.site.log()::disconnect);
			Awaitility.await().atMost(TIMEOUT).until(() -> DurableHostTests.this.site.endpoints().doneCount() == 2);
			assertThat(submit("host-1", "j2", 2)).as("it may be stored").isEqualTo("502");
			assertThat(submit("host-1", "j3", 2)).startsWith("503");
			assertThat(submit("host-2", "j2", 2)).as("a copy of it may be stored").isEqualTo("502");
			HOST_NAMES.forEach(DurableHostTests.this.site.log()::reconnect);
			List.of("j1", "j2").forEach((jobId) -> awaitStatus("host-2", jobId, "COMPLETED"));
			assertThat(request("host-2", "GET", "j3")).isEqualTo("410");
			assertNoTaskRanTwice();
		}

		/**
		 * Guards against a job that runs although the cancellation of its unanswered
		 * submission was answered with 410.
		 */
		@ParameterizedTest
		@ValueSource(strings = { "host-1", "host-2", "host-3" })
		void jobCancelledDuringALogOutageNeverRuns(String askedHost) {
			FleetSite site = DurableHostTests.this.site;
			HOST_NAMES.forEach(site.log()::disconnect);
			site.call("host-1", "POST", "/q/j1", "d2");
			Awaitility.await().pollDelay(Duration.ofMillis(500)).atMost(TIMEOUT).until(() -> true);
			assertThat(request(askedHost, "DELETE", "j1")).startsWith("503");
			assertThat(request(askedHost, "GET", "j1")).startsWith("503");
			HOST_NAMES.forEach(site.log()::reconnect);
			Awaitility.await().atMost(TIMEOUT).until(() -> !request(askedHost, "DELETE", "j1").startsWith("503"));
			Awaitility.await().pollDelay(Duration.ofSeconds(2)).atMost(TIMEOUT).until(() -> true);
			assertThat(site.endpoints().startCount()).isZero();
			assertThat(request(askedHost, "GET", "j1")).isEqualTo("200 CANCELLED");
		}

		@Test
		void ownerWithoutTheLogHandsJobsToAHostThatReachesIt() {
			submit("host-1", "j1", 2);
			DurableHostTests.this.site.log().disconnect("host-1");
			Awaitility.await().atMost(TIMEOUT).until(() -> submit("host-2", "j2", 2).startsWith("200"));
			awaitStatus("host-3", "j2", "COMPLETED");
			awaitStatus("host-3", "j1", "COMPLETED");
			assertNoTaskRanTwice();
		}

	}

}
