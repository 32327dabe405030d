package org.masticwick.fleet.process;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.masticwick.fleet.connection.HttpReply;
import org.masticwick.wire.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the copies of a job while its owner or the one that registers it is lost, cut
 * off or not reached by a callers' host, on a site with an owner for each failure domain.
 */
class RegistrationFaultsTests {

	private static final long RUN_MILLIS = 2_000;

	/** A job that the owner of the second failure domain registers. */
	private static final String JOB = "copied-too";

	private final FleetSite site = new FleetSite(RUN_MILLIS, RUN_MILLIS);

	@BeforeEach
	void start() {
		this.site.startWithTwoOwners("host-3");
		sleep(SettledPools.SETTLING_MILLIS + 1_000);
	}

	@AfterEach
	void close() {
		this.site.close();
	}

	private static void sleep(long millis) {
		Awaitility.await().pollDelay(Duration.ofMillis(millis)).atMost(Duration.ofSeconds(20)).until(() -> true);
	}

	/**
	 * The second host took its failure to connect for a refusal of the owner, which runs
	 * the copy of the first.
	 */
	@Test
	void runAtOneOwnerAlthoughAHostDoesNotReachTheOwnerOfTheFirst() {
		CompletableFuture<HttpReply> first = this.site.submit("owner-1", JOB, 1);
		sleep(200);
		this.site.transport("host-3").refuseCalls(this.site.peerAddress("owner-1"));
		CompletableFuture<HttpReply> second = this.site.submit("host-3", JOB, 1);
		assertThat(first.join().status()).isIn(200, 502);
		int status = second.join().status();
		assertThat(this.site.endpoints().concurrentlyRunTasks()).isEmpty();
		assertThat(status).isIn(200, 502);
	}

	/** The run of the first copy goes on until its lease expires. */
	@Test
	void areNotSaidNotToRunAfterTheOwnerOfTheFirstWasKilled() {
		this.site.submit("owner-1", JOB, 1);
		sleep(200);
		this.site.kill("owner-1");
		int status = this.site.submit("host-3", JOB, 1).join().status();
		assertThat(this.site.endpoints().concurrentlyRunTasks()).isEmpty();
		assertThat(status).isIn(200, 502);
	}

	/**
	 * The owner that registers the job hears the other one, which does not hear it. So
	 * the other one asks only those that it reaches.
	 */
	@Test
	void runAtOneOwnerAlthoughOneDoesNotHearTheOtherThatRegistersThem() {
		this.site.transport("owner-2")
			.drop(this.site.peerAddress("owner-1"), (message) -> message instanceof PeerMessage.HostReport);
		sleep(2_000);
		List<CompletableFuture<HttpReply>> copies = Stream.of("owner-1", "owner-2")
			.map((hostName) -> this.site.submit(hostName, JOB, 1))
			.toList();
		sleep(100);
		this.site.transport("owner-2").drop((message) -> false);
		assertThat(copies.stream().map((copy) -> copy.join().status())).contains(200).isSubsetOf(200, 502);
		assertThat(this.site.endpoints().concurrentlyRunTasks()).isEmpty();
	}

	/** An owner whose messages do not arrive at the other one hears that one. */
	@Test
	void areServedByAnOwnerThatTheOneThatRegistersThemDoesNotHear() {
		this.site.transport("owner-2").drop(this.site.peerAddress("owner-1"), (message) -> true);
		sleep(4_000);
		assertThat(this.site.submit("owner-2", "copied", 1).join().status()).isEqualTo(200);
	}

	/**
	 * The owner of the second failure domain registers and runs the first copies, which
	 * go on until their leases expire.
	 */
	@Test
	void waitForTheLeasesOfAnOwnerThatWasKilled() {
		this.site.start("host-4", "d2", FleetSite.WEAK_PROCESSOR_MILLICORES);
		this.site.awaitReady("host-4");
		sleep(2_000);
		List<String> jobIds = Stream.of(1, 3, 5, 7, 9, 10, 12).map((number) -> "job-" + number).toList();
		jobIds.forEach((jobId) -> this.site.submit("host-4", jobId, 1));
		sleep(200);
		this.site.kill("owner-2");
		List<CompletableFuture<HttpReply>> copies = jobIds.stream().map((jobId) -> {
			sleep(7);
			return this.site.submit("host-3", jobId, 1);
		}).toList();
		assertThat(copies.stream().map((copy) -> copy.join().status())).isSubsetOf(200, 502);
		assertThat(this.site.endpoints().concurrentlyRunTasks()).isEmpty();
	}

	/**
	 * The owner of the second failure domain runs nothing of these jobs but registers
	 * them.
	 */
	@Test
	void areServedAlthoughTheOwnerThatRegistersThemIsKilled() {
		this.site.kill("owner-2");
		long startMillis = System.nanoTime() / 1_000_000;
		List<CompletableFuture<String>> results = Stream.of(1, 3, 5, 7, 9, 10, 12).map((number) -> {
			long sentMillis = System.nanoTime() / 1_000_000;
			CompletableFuture<HttpReply> reply = this.site.submit("host-3", "job-" + number, 1);
			sleep(60);
			return reply.thenApply((answer) -> "sent " + (sentMillis - startMillis) + " status " + answer.status()
					+ " after " + (System.nanoTime() / 1_000_000 - sentMillis));
		}).toList();
		assertThat(results.stream().map(CompletableFuture::join).toList())
			.allSatisfy((result) -> assertThat(result).contains("status 200"));
	}

}
