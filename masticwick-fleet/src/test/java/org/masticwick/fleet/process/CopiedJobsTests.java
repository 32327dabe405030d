package org.masticwick.fleet.process;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;

import org.masticwick.fleet.connection.HttpReply;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the copies of a job that a caller sends to two hosts of a failure domain
 * within milliseconds run at one owner, on a site with an owner for each failure domain.
 */
class CopiedJobsTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final long RUN_MILLIS = 500;

	/** So little processor time that no host can own the endpoints of all domains. */
	private static final int PROCESSOR_MILLICORES = 5;

	private final FleetSite site = new FleetSite(RUN_MILLIS, RUN_MILLIS);

	@BeforeEach
	void start() {
		this.site.listEndpoint("e1", "d1", true);
		this.site.listEndpoint("e2", "d2", true);
		this.site.start("owner-1", "d1", 2 * PROCESSOR_MILLICORES);
		awaitReady("owner-1");
		this.site.start("owner-2", "d2", 2 * PROCESSOR_MILLICORES);
		this.site.start("host-3", "d1", PROCESSOR_MILLICORES);
		this.site.start("host-4", "d1", PROCESSOR_MILLICORES);
		List.of("owner-2", "host-3", "host-4").forEach(this::awaitReady);
		Awaitility.await()
			.atMost(TIMEOUT)
			.until(() -> this.site.claimOwner("d1").equals("owner-1") && this.site.claimOwner("d2").equals("owner-2"));
		assertThat(this.site.submit("host-3", "first", 1).join().status()).isEqualTo(200);
		assertThat(this.site.submit("host-4", "second", 1).join().status()).isEqualTo(200);
	}

	@AfterEach
	void close() {
		this.site.close();
	}

	private void awaitReady(String hostName) {
		Awaitility.await().atMost(TIMEOUT).until(() -> this.site.isReady(hostName));
	}

	/**
	 * One host used to send its copy to the pool of its domain, and one that knew it to
	 * be nearly full its copy to another pool.
	 */
	@RepeatedTest(4)
	void runAtOneOwnerAlthoughTheirHostsSelectDifferentPools() {
		CompletableFuture<HttpReply> other = this.site.submit("host-3", "other", 7);
		List<CompletableFuture<HttpReply>> copies = Stream.of("host-3", "host-4")
			.map((hostName) -> this.site.submit(hostName, "copied", 2))
			.toList();
		assertThat(copies.stream().map((copy) -> copy.join().status())).contains(200).isSubsetOf(200, 502);
		assertThat(other.join().status()).isEqualTo(200);
		assertThat(this.site.endpoints().concurrentlyRunTasks()).isEmpty();
	}

}
