package org.masticwick.proof.support;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that entry hosts of a {@link Site} run jobs and terminate on request.
 */
class SiteEntryHostTests {

	private static final Map<String, Object> JOB = Map.of("service", "meal-application", "team", "team", "deadline_ms",
			20_000, "tasks",
			List.of(Map.of("kind", "k", "payload", "{\"run_ms\":1}"), Map.of("kind", "k", "payload", "x")));

	@Test
	void runsAJobAndStopsAnEntryHost() {
		SiteOptions options = SiteOptions.of("toto-centro", "quetzal-norte")
			.withEntryHosts(1)
			.withEntryHostKey("peers", "heartbeat_interval_ms", "100")
			.withEntryHostKey("peers", "silence_limit_ms", "1000");
		try (Site site = Site.start(options)) {
			site.awaitReady();
			EntryHostProcess host = site.entryHosts("toto-centro").get(0);
			ApiClient.Reply tickets = site.client().send("POST", host.api(), "/v1/tickets", "{\"count\":1}", Map.of());
			String ticket = tickets.json().path("tickets").path(0).textValue();
			JsonNode answer = site.client()
				.send("PUT", host.api(), "/v1/jobs/" + ticket, ApiClient.write(JOB), Map.of())
				.json();
			assertThat(answer.path("outcome").textValue()).as(answer.toString()).isEqualTo("complete");
			assertThat(answer.path("results")).hasSize(2);
			assertThat(site.workers("toto-centro").starts(ticket)).hasSize(2).allSatisfy(this::assertStartedOnce);
			assertThat(site.workers("toto-centro").doubleStarts()).isEmpty();
			host.process().terminate();
			assertThat(host.process().awaitExit(Duration.ofSeconds(40))).isZero();
		}
	}

	private void assertStartedOnce(String taskId, int count) {
		assertThat(count).as(taskId).isEqualTo(1);
	}

}
