package org.masticwick.fleet.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.masticwick.core.pool.DurableJob;
import org.masticwick.core.pool.DurableProgress;
import org.masticwick.core.pool.DurableState;
import org.masticwick.core.pool.JobSchedule;
import org.masticwick.core.pool.JobSpec;
import org.masticwick.core.pool.JobTerms;
import org.masticwick.core.pool.OccurrenceProgress;
import org.masticwick.core.pool.Resources;
import org.masticwick.core.pool.StepSpec;
import org.masticwick.core.pool.TaskProgress;
import org.masticwick.fleet.connection.HttpReply;
import org.masticwick.wire.DurableJobCodec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that records of durable jobs that can't be are skipped when a host reads the jobs
 * of its pools. They used to end the reading, so that the jobs of the pool were never
 * continued.
 */
class OddJobRecordsTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private final FleetSite site = new FleetSite(100);

	@AfterEach
	void close() {
		this.site.close();
	}

	private static byte[] definition(String jobId) {
		StepSpec step = new StepSpec(1, new Resources(1_000, 1, 0), 100, List.of(), "", "", 0);
		return DurableJobCodec
			.encode(new DurableJob(new JobSpec(jobId, "payload", List.of(step), true, JobSchedule.IMMEDIATE),
					new JobTerms("queue", "service", 0, 2, 2, 200, 1_000, 1), System.currentTimeMillis()));
	}

	private static byte[] progress(OccurrenceProgress... occurrences) {
		return DurableJobCodec
			.encode(new DurableProgress(DurableState.ACTIVE, System.currentTimeMillis(), List.of(occurrences)));
	}

	private static OccurrenceProgress occurrence(int occurrence, int step, int index) {
		return new OccurrenceProgress(occurrence, false,
				List.of(new TaskProgress(step, index, false, 1, 0, "", List.of(), List.of())));
	}

	private void store(String key, byte[] value) {
		this.site.log().storeJobRecord(0, key, value);
		this.site.log().storeJobRecord(1, key, value);
	}

	private void storeJob(String jobId, byte[] progress) {
		store("d/" + jobId, definition(jobId));
		store("p/" + jobId, progress);
	}

	private String request(String method, String jobId, String body) {
		HttpReply reply = this.site.call("host-1", method, "/q/" + jobId, body).orTimeout(20, TimeUnit.SECONDS).join();
		return (reply.status() + " " + new String(reply.body(), StandardCharsets.UTF_8)).strip();
	}

	private void assertServesDurableJobs() {
		this.site.listEndpoint("e1", "d1", true);
		this.site.listEndpoint("e2", "d2", true);
		this.site.start("host-1", "d1");
		this.site.start("host-2", "d2");
		Awaitility.await().atMost(TIMEOUT).until(() -> this.site.isReady("host-1"));
		Awaitility.await().atMost(TIMEOUT).until(() -> request("POST", "j1", "d2").startsWith("200"));
		Awaitility.await().atMost(TIMEOUT).until(() -> request("GET", "j1", "").equals("200 COMPLETED"));
	}

	@Test
	void withKeysOfAnotherFormAreSkipped() {
		store("", new byte[] { 1 });
		store("x", new byte[] { 1 });
		store("d/", new byte[] { 1 });
		store("x/y", new byte[] { 1 });
		storeJob("good", progress());
		assertServesDurableJobs();
		Awaitility.await().atMost(TIMEOUT).until(() -> request("GET", "good", "").equals("200 COMPLETED"));
	}

	@Test
	void withTasksThatTheirJobDoesNotHaveAreSkipped() {
		storeJob("odd-1", progress(occurrence(0, 7, 0)));
		storeJob("odd-2", progress(occurrence(0, 0, 7)));
		storeJob("good", progress());
		assertServesDurableJobs();
		Awaitility.await().atMost(TIMEOUT).until(() -> request("GET", "good", "").equals("200 COMPLETED"));
		assertThat(request("GET", "odd-1", "")).isEqualTo("410");
	}

	@Test
	void withOccurrencesThatTheirJobDoesNotHaveAreSkipped() {
		storeJob("odd-1", progress(new OccurrenceProgress(Integer.MAX_VALUE, true, List.of())));
		assertServesDurableJobs();
	}

}
