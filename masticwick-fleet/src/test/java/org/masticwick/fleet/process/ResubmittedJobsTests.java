package org.masticwick.fleet.process;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.masticwick.fleet.connection.HttpReply;
import org.masticwick.wire.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a job that is submitted again runs only after its first submission has
 * ended, on a site with an owner for each failure domain, so that the second submission
 * may reach another owner.
 */
class ResubmittedJobsTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	/** Longer than callers wait before they submit a job again. */
	private static final long RUN_MILLIS = 3_000;

	/** After how long callers submit a job again, by the contract with them. */
	private static final long RESUBMISSION_MILLIS = 1_300;

	private final FleetSite site = new FleetSite(RUN_MILLIS, RUN_MILLIS);

	@BeforeEach
	void start() {
		this.site.startWithTwoOwners("host-3");
	}

	@AfterEach
	void close() {
		this.site.close();
	}

	private void awaitFirstRun() {
		Awaitility.await().atMost(TIMEOUT).until(() -> this.site.endpoints().runningCount() == 1);
	}

	private static void pause(long millis) {
		Awaitility.await().pollDelay(Duration.ofMillis(millis)).atMost(TIMEOUT).until(() -> true);
	}

	private void startHostWithoutOwnCapacity() {
		this.site.listEndpoint("e2", "d2", false);
		this.site.start("host-5", "d2", FleetSite.WEAK_PROCESSOR_MILLICORES);
		this.site.awaitReady("host-5");
		pause(1_000);
	}

	private void assertThatTheSecondSubmissionRunsAlone() {
		pause(RESUBMISSION_MILLIS);
		CompletableFuture<HttpReply> second = this.site.submit("owner-2", "j1", 1);
		Awaitility.await().atMost(TIMEOUT).until(() -> this.site.endpoints().startCount("e2") == 1 || second.isDone());
		assertThat(this.site.endpoints().concurrentlyRunTasks()).isEmpty();
		assertThat(second.join().status()).isEqualTo(200);
		assertThat(this.site.endpoints().concurrentlyRunTasks()).isEmpty();
	}

	@Nested
	class WhoseOwnerIsNotTold {

		@Test
		void runAloneAfterTheAnswerOfTheOwnerWasLost() {
			CompletableFuture<HttpReply> first = ResubmittedJobsTests.this.site.submit("host-3", "j1", 1);
			awaitFirstRun();
			ResubmittedJobsTests.this.site.transport("host-3").losePendingAnswers();
			assertThat(first.join().status()).isEqualTo(502);
			assertThatTheSecondSubmissionRunsAlone();
		}

		@Test
		void runAloneAfterTheCancellationWasLost() {
			ResubmittedJobsTests.this.site.transport("host-3").drop(PeerMessage.CancelJob.class::isInstance);
			CompletableFuture<Void> first = ResubmittedJobsTests.this.site.submitAndDisconnect("host-3", "j1", 400);
			awaitFirstRun();
			first.join();
			assertThatTheSecondSubmissionRunsAlone();
		}

	}

	@Nested
	class WhoseOwnerChanges {

		private void startSuccessor() {
			ResubmittedJobsTests.this.site.start("host-4", "d1", FleetSite.WEAK_PROCESSOR_MILLICORES);
			ResubmittedJobsTests.this.site.awaitReady("host-4");
			pause(500);
		}

		@Test
		void runAloneAfterTheCancellationMetAHandover() {
			startSuccessor();
			CompletableFuture<Void> first = ResubmittedJobsTests.this.site.submitAndDisconnect("host-3", "j1", 600);
			awaitFirstRun();
			List.of("host-3", "host-4").forEach((name) -> ResubmittedJobsTests.this.site.log().delayAppends(name, 250));
			pause(100);
			ResubmittedJobsTests.this.site.stopGracefully("owner-1");
			first.join();
			assertThatTheSecondSubmissionRunsAlone();
		}

		@Test
		void runAloneAfterTheirHostDiedDuringAHandover() {
			startSuccessor();
			ResubmittedJobsTests.this.site.submitAndDisconnect("host-3", "j1", 8_000);
			awaitFirstRun();
			ResubmittedJobsTests.this.site.log().delayAppends("host-4", 300);
			ResubmittedJobsTests.this.site.kill("host-3");
			ResubmittedJobsTests.this.site.stopGracefully("owner-1");
			assertThatTheSecondSubmissionRunsAlone();
		}

		@Test
		void runAloneAfterTheWordOfTheHandoverWasLost() {
			startSuccessor();
			List.of("host-3", "host-4")
				.forEach((name) -> ResubmittedJobsTests.this.site.transport(name)
					.drop(PeerMessage.JobsMoved.class::isInstance));
			CompletableFuture<HttpReply> first = ResubmittedJobsTests.this.site.submit("host-3", "j1", 1);
			awaitFirstRun();
			ResubmittedJobsTests.this.site.stopGracefully("owner-1");
			if (first.join().status() == 502) {
				assertThatTheSecondSubmissionRunsAlone();
			}
		}

		/** The previous owner used to end a job that the next one continued. */
		@Test
		void runAloneAfterTheirHostWasNotHeardDuringAHandover() {
			startSuccessor();
			CompletableFuture<HttpReply> first = ResubmittedJobsTests.this.site.submit("host-3", "j1", 1);
			awaitFirstRun();
			ResubmittedJobsTests.this.site.log().delayAppends("host-4", 300);
			ResubmittedJobsTests.this.site.transport("host-3")
				.drop(ResubmittedJobsTests.this.site.peerAddress("owner-1"), PeerMessage.HostReport.class::isInstance);
			pause(330);
			ResubmittedJobsTests.this.site.stopGracefully("owner-1");
			if (first.join().status() == 502) {
				assertThatTheSecondSubmissionRunsAlone();
			}
		}

		/** The next owner used to cancel the jobs of hosts that report to owners only. */
		@Test
		void goOnAfterAHandoverThatTheirHostTakesNoPartIn() {
			startSuccessor();
			startHostWithoutOwnCapacity();
			CompletableFuture<HttpReply> first = ResubmittedJobsTests.this.site.submit("host-5", "j1", 1);
			awaitFirstRun();
			ResubmittedJobsTests.this.site.stopGracefully("owner-1");
			assertThat(first.join().status()).isEqualTo(200);
			assertThat(ResubmittedJobsTests.this.site.endpoints().startCount()).isEqualTo(1);
		}

	}

	@Nested
	class WhoseHostIsPaused {

		private static final long PAUSE_MILLIS = 3_000;

		/** The owner used to start a job that it read after it had been paused. */
		@Test
		void runAloneAfterTheirOwnerWasPaused() {
			startHostWithoutOwnCapacity();
			ResubmittedJobsTests.this.site.kill("host-3");
			ResubmittedJobsTests.this.site.pause("owner-1", PAUSE_MILLIS);
			CompletableFuture<Void> first = ResubmittedJobsTests.this.site.submitAndDisconnect("host-5", "j1", 400);
			ResubmittedJobsTests.this.site.listEndpoint("e2", "d2", true);
			pause(100);
			ResubmittedJobsTests.this.site.pause("host-5", 2 * PAUSE_MILLIS);
			first.join();
			assertThatTheSecondSubmissionRunsAlone();
		}

		/** A host used to send on a job whose caller had left during its pause. */
		@Test
		void runAloneAfterTheirFirstHostWasPaused() {
			ResubmittedJobsTests.this.site.pause("host-3", PAUSE_MILLIS);
			ResubmittedJobsTests.this.site.submitAndDisconnect("host-3", "j1", 400).join();
			assertThatTheSecondSubmissionRunsAlone();
		}

	}

}
