package org.masticwick.proof.site;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;

import org.masticwick.proof.steps.World;
import org.masticwick.proof.support.ApiClient;
import org.masticwick.proof.support.EntryHostProcess;
import org.masticwick.proof.support.Site;

import static org.awaitility.Awaitility.await;

/**
 * Sends requests to the entry hosts of the scenario's site.
 */
final class SiteSupport {

	private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

	private SiteSupport() {
	}

	static ApiClient client() {
		return World.site().client();
	}

	/**
	 * Returns the running entry hosts.
	 * @return the hosts
	 */
	static List<EntryHostProcess> runningHosts() {
		Site site = World.site();
		return site.domains().stream().flatMap(SiteSupport::runningHosts).toList();
	}

	/**
	 * Returns the running entry hosts of a failure domain.
	 * @param domain the failure domain
	 * @return the hosts
	 */
	static Stream<EntryHostProcess> runningHosts(String domain) {
		return World.site().entryHosts(domain).stream().filter((host) -> host.process().alive());
	}

	static JsonNode getJson(EntryHostProcess host, String path) {
		return client().send("GET", host.api(), path).json();
	}

	static long version(EntryHostProcess host) {
		return getJson(host, "/v1/version").path("version").longValue();
	}

	static void awaitTrue(String description, Duration limit, Callable<Boolean> condition) {
		await(description).atMost(limit).pollInterval(POLL_INTERVAL).ignoreExceptions().until(condition);
	}

}
