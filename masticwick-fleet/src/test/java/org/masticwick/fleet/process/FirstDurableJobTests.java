package org.masticwick.fleet.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.masticwick.fleet.connection.HttpReply;
import org.masticwick.wire.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the loss of an owner that has told no peer of the first durable job of the
 * site, with several hosts on loopback. The next owner can't read the stored jobs for a
 * while.
 */
class FirstDurableJobTests {

	private static final long RUN_MILLIS = 250;

	/** Many renewals of each lease, but less than the leases of lost runs last. */
	private static final Duration UNREAD = Duration.ofMillis(900);

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final String OWNER = "host-1";

	private final FleetSite site = new FleetSite(RUN_MILLIS);

	@BeforeEach
	void startAll() {
		List.of("e1", "e2").forEach((id) -> this.site.listEndpoint(id, "d1", true));
		List.of("e3", "e4").forEach((id) -> this.site.listEndpoint(id, "d2", true));
		this.site.start(OWNER, "d1");
		this.site.start("host-2", "d1");
		this.site.start("host-3", "d2");
		List.of(OWNER, "host-2", "host-3").forEach(this.site::awaitReady);
		Awaitility.await().atMost(TIMEOUT).until(() -> List.of("d1", "d2").stream().allMatch(this::isOwned));
		Awaitility.await().atMost(TIMEOUT).until(() -> this.site.endpoints().renewalCount("e4") > 0);
	}

	private boolean isOwned(String pool) {
		return this.site.claimOwner(pool).equals(OWNER);
	}

	@AfterEach
	void close() {
		this.site.close();
	}

	private static String text(HttpReply reply) {
		return (reply.status() + " " + new String(reply.body(), StandardCharsets.UTF_8)).strip();
	}

	private String call(String hostName, String method, String jobId, String body) {
		return text(this.site.call(hostName, method, "/q/" + jobId, body).orTimeout(20, TimeUnit.SECONDS).join());
	}

	private void loseOwnerWhileJobsCannotBeRead() {
		this.site.log().refuseJobReads();
		this.site.kill(OWNER);
		Awaitility.await()
			.atMost(TIMEOUT)
			.until(() -> List.of("d1", "d2").stream().noneMatch(this::isOwned)
					&& this.site.endpoints().runningCount() == 0);
		Awaitility.await().pollDelay(UNREAD).atMost(TIMEOUT).until(() -> true);
	}

	/**
	 * Guards against a next owner that takes the ends of a stored job for those of an
	 * interactive one, because no report has told it of durable jobs, and then runs the
	 * tasks again.
	 */
	@Nested
	class ThatIsStored {

		@Test
		void hasItsEndsKeptUntilTheNextOwnerHasReadIt() {
			FleetSite site = FirstDurableJobTests.this.site;
			site.transport(OWNER).drop((message) -> message instanceof PeerMessage.HostReport);
			assertThat(call(OWNER, "POST", "j1", "d4")).isEqualTo("200 PENDING");
			loseOwnerWhileJobsCannotBeRead();
			assertThat(site.endpoints().unacknowledgedCount()).isEqualTo(4);
			site.log().acceptJobReads();
			Awaitility.await().atMost(TIMEOUT).until(() -> call("host-2", "GET", "j1", "").equals("200 COMPLETED"));
			assertThat(site.endpoints().restartedTasks()).isEmpty();
			assertThat(site.endpoints().concurrentlyRunTasks()).isEmpty();
			Awaitility.await().atMost(TIMEOUT).until(() -> site.endpoints().unacknowledgedCount() == 0);
		}

	}

	/**
	 * Guards against the lists of endpoints filling up with ends that nobody claims: from
	 * 500 on, later ends aren't listed.
	 */
	@Nested
	class ThatWasNeverSubmitted {

		@Test
		void leavesTheEndsOfInteractiveJobsToBeAcknowledgedAtOnce() {
			FleetSite site = FirstDurableJobTests.this.site;
			site.submit(OWNER, "j1", 4);
			Awaitility.await().atMost(TIMEOUT).until(() -> site.endpoints().runningCount() == 4);
			loseOwnerWhileJobsCannotBeRead();
			assertThat(site.endpoints().unacknowledgedCount()).isZero();
		}

	}

}
