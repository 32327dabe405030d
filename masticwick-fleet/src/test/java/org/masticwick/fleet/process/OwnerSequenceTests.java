package org.masticwick.fleet.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.fleet.connection.HttpReply;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for durable jobs while their owner changes twice, in different ways, with several
 * hosts on loopback. A second change finds what the first one has left in the log and at
 * the endpoints: a task ran again after it was done and acknowledged.
 */
class OwnerSequenceTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(40);

	private static final long RUN_MILLIS = 1_500;

	private static final int JOB_COUNT = 8;

	/** Longer than an owner is silent before another host takes its place. */
	private static final long PAUSE_MILLIS = 2_500;

	/** The time in which a killed host starts again. */
	private static final long RESTART_MILLIS = 700;

	private final FleetSite site = new FleetSite(RUN_MILLIS);

	@AfterEach
	void close() {
		this.site.close();
	}

	private static void sleep(long millis) {
		Awaitility.await().pollDelay(Duration.ofMillis(millis)).atMost(TIMEOUT).until(() -> true);
	}

	private String call(String hostName, String method, String jobId, String body) {
		HttpReply reply = this.site.call(hostName, method, "/q/" + jobId, body).orTimeout(20, TimeUnit.SECONDS).join();
		return (reply.status() + " " + new String(reply.body(), StandardCharsets.UTF_8)).strip();
	}

	private List<String> submitJobs(String hostName) {
		List<String> jobIds = IntStream.range(0, JOB_COUNT).mapToObj((number) -> "job-" + number).toList();
		jobIds.forEach((jobId) -> Awaitility.await()
			.atMost(TIMEOUT)
			.until(() -> call(hostName, "POST", jobId, "d2").equals("200 PENDING")));
		return jobIds;
	}

	private enum Change {

		/** The process is killed and stays away. */
		KILL,

		/** The host loses power and starts again. */
		POWER,

		/** The process is frozen and goes on. */
		FREEZE,

		/** The process is stopped as planned and starts again. */
		STOP

	}

	private void change(Change change, String pool) {
		String owner = this.site.claimOwner(pool);
		switch (change) {
			case KILL -> this.site.kill(owner);
			case POWER -> {
				this.site.kill(owner);
				sleep(RESTART_MILLIS);
				this.site.start(owner + "-again", pool);
			}
			case FREEZE -> this.site.pause(owner, PAUSE_MILLIS);
			case STOP -> this.site.stopGracefully(owner);
			default -> throw new IllegalArgumentException("Unknown change: " + change);
		}
		Awaitility.await().atMost(TIMEOUT).until(() -> !this.site.claimOwner(pool).equals(owner));
	}

	private void assertAllCompleteOnce(String hostName, List<String> jobIds) {
		jobIds.forEach((jobId) -> Awaitility.await()
			.atMost(TIMEOUT)
			.until(() -> call(hostName, "GET", jobId, "").equals("200 COMPLETED")));
		assertThat(this.site.endpoints().concurrentlyRunTasks()).isEmpty();
		assertThat(this.site.endpoints().restartedTasks()).isEmpty();
	}

	@Nested
	class WithOneOwner {

		@ParameterizedTest
		@CsvSource({ "POWER, STOP, 400", "FREEZE, STOP, 1800", "STOP, KILL, 600", "FREEZE, KILL, 900",
				"POWER, FREEZE, 200" })
		void durableTasksRunOnce(Change first, Change second, long pauseMillis) {
			FleetSite site = OwnerSequenceTests.this.site;
			List.of("e1", "e2").forEach((id) -> site.listEndpoint(id, "d1", true));
			List.of("e3", "e4").forEach((id) -> site.listEndpoint(id, "d2", true));
			List.of("host-1", "host-2", "host-3", "host-4").forEach((name) -> site.start(name, "d1"));
			site.start("host-5", "d2", FleetSite.WEAK_PROCESSOR_MILLICORES);
			List.of("host-1", "host-2", "host-3", "host-4", "host-5").forEach(site::awaitReady);
			List<String> jobIds = submitJobs("host-5");
			change(first, "d1");
			sleep(pauseMillis);
			change(second, "d1");
			assertAllCompleteOnce("host-5", jobIds);
		}

	}

	@Nested
	class WithTwoOwners {

		@ParameterizedTest
		@CsvSource({ "KILL, STOP, 500", "FREEZE, STOP, 1200" })
		void durableTasksRunOnce(Change first, Change second, long pauseMillis) {
			FleetSite site = OwnerSequenceTests.this.site;
			site.startWithTwoOwners("entry-1", "entry-2", "entry-3");
			List.of("entry-4", "entry-5")
				.forEach((name) -> site.start(name, "d2", FleetSite.WEAK_PROCESSOR_MILLICORES));
			List.of("entry-4", "entry-5").forEach(site::awaitReady);
			List<String> jobIds = submitJobs("entry-3");
			change(first, "d1");
			sleep(pauseMillis);
			change(second, "d2");
			assertAllCompleteOnce("entry-3", jobIds);
		}

	}

}
