package org.masticwick.proof.support;

import java.time.Duration;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.masticwick.core.process.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Tests for {@link Site}, {@link ManagedProcess} and the stand-ins as child processes.
 */
class SiteTests {

	private static final Map<String, String> TASK_HEADERS = Map.of("Task-Service", "meal-application", "Task-Kind", "k",
			"Task-Lease-Millis", "60000");

	private final Site site = Site.start(
			SiteOptions.of("toto-centro", "quetzal-norte").withWorkerRelays().withPlatform("--host-list-lag-ms", "0"));

	@AfterEach
	void close() {
		this.site.close();
	}

	@Test
	void startsStandInsAndPublishesANote() {
		ApiClient.Reply log = this.site.client()
			.send("GET", this.site.platformRelay("toto-centro").address(), "/log/site?from=0");
		JsonNode note = ApiClient.read(log.json().path("records").path(0).path("value").textValue());
		assertThat(note.path("type").textValue()).isEqualTo("note");
		assertThat(note.path("capacities")).hasSize(4);
		await().untilAsserted(() -> assertThat(this.site.platform().hosts()).hasSize(4));
	}

	@Test
	void runsTasksThroughRelays() {
		HostAddress worker = this.site.workers("toto-centro").addresses().get(0);
		ApiClient.Reply reply = this.site.client()
			.send("POST", this.site.publishedAddress(worker), "/tasks/t.0", "{\"run_ms\":1}", TASK_HEADERS);
		assertThat(reply.status()).isEqualTo(200);
		assertThat(this.site.workers("toto-centro").starts("t")).containsExactly(Map.entry("t.0", 1));
		assertThat(this.site.workers("quetzal-norte").starts("")).isEmpty();
	}

	@Test
	void listsALeavingWorkerAndRemovesAKilledProcess() {
		StandinWorkers workers = this.site.workers("toto-centro");
		workers.fault(1, Map.of("leaving", true));
		await().untilAsserted(() -> assertThat(this.site.platform().hosts().toString()).contains("leaving"));
		workers.process().kill();
		assertThat(workers.process().alive()).isFalse();
		await().atMost(Duration.ofSeconds(20)).untilAsserted(() -> assertThat(this.site.platform().hosts()).hasSize(2));
	}

	@Test
	void pausesAndResumesAndStopsAProcess() {
		ManagedProcess process = this.site.workers("toto-centro").process();
		process.pause();
		assertThat(process.alive()).isTrue();
		process.resume();
		assertThat(this.site.workers("toto-centro").describe()).hasSize(2);
		process.terminate();
		assertThat(process.awaitExit(Duration.ofSeconds(20))).isEqualTo(143);
	}

}
