package org.masticwick.fleet.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.fleet.connection.HttpReply;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for durable jobs on several hosts on loopback.
 */
class DurableHostTests {

	private static final long RUN_MILLIS = 250;

	private static final Duration LIMIT = Duration.ofSeconds(20);

	private static final List<String> HOSTS = List.of("host-1", "host-2", "host-3");

	private final FleetSite site = new FleetSite(RUN_MILLIS);

	@BeforeEach
	void startAll() {
		List.of("e1", "e2").forEach((id) -> this.site.listEndpoint(id, "d1", true));
		List.of("e3", "e4").forEach((id) -> this.site.listEndpoint(id, "d2", true));
		this.site.start("host-1", "d1");
		this.site.start("host-2", "d1");
		this.site.start("host-3", "d2");
		HOSTS.forEach(this::awaitReady);
		Awaitility.await().atMost(LIMIT).until(() -> ask("host-1", "GET", "none").startsWith("410"));
	}

	@AfterEach
	void close() {
		this.site.close();
	}

	private void awaitReady(String host) {
		Awaitility.await().atMost(LIMIT).until(() -> this.site.isReady(host));
	}

	private static String text(HttpReply reply) {
		return (reply.status() + " " + new String(reply.body(), StandardCharsets.UTF_8)).strip();
	}

	private String ask(String host, String method, String jobId) {
		return text(this.site.call(host, method, "/q/" + jobId, "").orTimeout(20, TimeUnit.SECONDS).join());
	}

	private String submit(String host, String jobId, int taskCount) {
		return text(
				this.site.call(host, "POST", "/q/" + jobId, "d" + taskCount).orTimeout(20, TimeUnit.SECONDS).join());
	}

	private void awaitState(String host, String jobId, String state) {
		Awaitility.await().atMost(LIMIT).until(() -> ask(host, "GET", jobId).equals("200 " + state));
	}

	private List<String> submitSome(int count) {
		List<String> jobIds = IntStream.range(0, count).mapToObj((number) -> "job-" + number).toList();
		jobIds.forEach((jobId) -> assertThat(submit("host-2", jobId, 2)).isEqualTo("200 PENDING"));
		return jobIds;
	}

	private void nothingRanTwice() {
		assertThat(this.site.endpoints().doubled()).isEmpty();
		assertThat(this.site.endpoints().startedAgain()).isEmpty();
	}

	@Nested
	class Asking {

		@Test
		void anyHostTellsTheState() {
			submit("host-1", "j1", 2);
			HOSTS.forEach((host) -> awaitState(host, "j1", "COMPLETED"));
			nothingRanTwice();
		}

		@ParameterizedTest
		@ValueSource(strings = { "GET", "DELETE" })
		void aJobThatNobodySubmittedIsUnknown(String method) {
			HOSTS.forEach((host) -> assertThat(ask(host, method, "other")).isEqualTo("410"));
		}

		@Test
		void aCancelledJobRunsNoMore() {
			submit("host-1", "j1", 2);
			Awaitility.await().atMost(LIMIT).until(() -> DurableHostTests.this.site.endpoints().runningCount() > 0);
			assertThat(ask("host-3", "DELETE", "j1")).isEqualTo("200 CANCELLED");
			assertThat(ask("host-2", "GET", "j1")).isEqualTo("200 CANCELLED");
			Awaitility.await().atMost(LIMIT).until(() -> DurableHostTests.this.site.endpoints().runningCount() == 0);
			assertThat(DurableHostTests.this.site.endpoints().doneCount()).isZero();
		}

		@Test
		void waitingJobsAreCounted() {
			assertThat(ask("host-3", "GET", "")).isEqualTo("200 0");
		}

	}

	@Nested
	class Resubmission {

		@Test
		void isTheSameJobAtAnyHost() {
			HOSTS.forEach((host) -> assertThat(submit(host, "j1", 2)).isEqualTo("200 PENDING"));
			awaitState("host-1", "j1", "COMPLETED");
			assertThat(submit("host-3", "j1", 2)).isEqualTo("200 PENDING");
			assertThat(DurableHostTests.this.site.endpoints().startCount()).isEqualTo(2);
		}

	}

	@Nested
	class Losing {

		@Test
		void theNextOwnerGoesOn() {
			List<String> jobIds = submitSome(6);
			DurableHostTests.this.site.kill("host-1");
			jobIds.forEach((jobId) -> awaitState("host-3", jobId, "COMPLETED"));
			nothingRanTwice();
		}

		@Test
		void allHostsAtOnceLosesNoJob() {
			List<String> jobIds = submitSome(6);
			HOSTS.forEach(DurableHostTests.this.site::kill);
			DurableHostTests.this.site.start("host-4", "d1");
			DurableHostTests.this.site.start("host-5", "d2");
			awaitReady("host-4");
			jobIds.forEach((jobId) -> awaitState("host-4", jobId, "COMPLETED"));
			nothingRanTwice();
		}

		@Test
		void aPlannedStopHandsJobsOver() {
			List<String> jobIds = submitSome(6);
			DurableHostTests.this.site.leave("host-1");
			jobIds.forEach((jobId) -> awaitState("host-3", jobId, "COMPLETED"));
			nothingRanTwice();
		}

		@Test
		void withoutTheLogNoJobIsTakenAndWhatRunsGoesOn() {
			submit("host-1", "j1", 2);
			HOSTS.forEach(DurableHostTests.this.site.log()::cutOff);
			Awaitility.await().atMost(LIMIT).until(() -> DurableHostTests.this.site.endpoints().doneCount() == 2);
			Awaitility.await().atMost(LIMIT).until(() -> submit("host-1", "j2", 2).startsWith("503"));
			HOSTS.forEach(DurableHostTests.this.site.log()::reach);
			awaitState("host-2", "j1", "COMPLETED");
			nothingRanTwice();
		}

		@Test
		void anOwnerWithoutTheLogHandsItsJobsToOneThatHasIt() {
			submit("host-1", "j1", 2);
			DurableHostTests.this.site.log().cutOff("host-1");
			Awaitility.await().atMost(LIMIT).until(() -> submit("host-2", "j2", 2).startsWith("200"));
			awaitState("host-3", "j2", "COMPLETED");
			awaitState("host-3", "j1", "COMPLETED");
			nothingRanTwice();
		}

	}

}
