package org.masticwick.fleet.process;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.fleet.connection.HttpReply;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the copies of a job that a caller sends to two hosts within milliseconds run
 * at one owner, on a site with an owner for each failure domain.
 */
class CopiedJobsTests {

	private static final long RUN_MILLIS = 500;

	private final FleetSite site = new FleetSite(RUN_MILLIS, RUN_MILLIS);

	@BeforeEach
	void start() {
		this.site.startWithTwoOwners("host-3", "host-4");
		assertThat(this.site.submit("host-3", "first", 1).join().status()).isEqualTo(200);
		assertThat(this.site.submit("host-4", "second", 1).join().status()).isEqualTo(200);
	}

	@AfterEach
	void close() {
		this.site.close();
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

	/** Each owner used to run the copy that reached its own failure domain. */
	@ParameterizedTest(name = "job {0}")
	@ValueSource(strings = { "copied", "copied-too", "moved", "moved-too" })
	void runAtOneOwnerAlthoughTheyReachTwoFailureDomains(String jobId) {
		List<CompletableFuture<HttpReply>> copies = Stream.of("host-3", "owner-2")
			.map((hostName) -> this.site.submit(hostName, jobId, 2))
			.toList();
		assertThat(copies.stream().map((copy) -> copy.join().status())).contains(200).isSubsetOf(200, 502);
		assertThat(this.site.endpoints().concurrentlyRunTasks()).isEmpty();
	}

	/** The connection broke right after the first copy was sent. */
	@RepeatedTest(4)
	void runAtOneOwnerAlthoughTheCallerOfTheFirstHasLeft() {
		CompletableFuture<Void> first = this.site.submitAndDisconnect("host-3", "copied", 3);
		CompletableFuture<HttpReply> second = this.site.submit("owner-2", "copied", 2);
		first.join();
		assertThat(second.join().status()).isIn(200, 502);
		assertThat(this.site.endpoints().concurrentlyRunTasks()).isEmpty();
	}

}
