package org.masticwick.cli.load;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.HttpUrl;

import org.masticwick.cli.process.HostQuery;
import org.masticwick.cli.version.SitePublisher;
import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Publishes rules and waits until their version is active on all hosts.
 */
final class RulePublisher {

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	private static final long POLL_MILLIS = 100;

	private final HttpUrl platform;

	private final List<HttpUrl> hosts;

	RulePublisher(HttpUrl platform, List<HttpUrl> hosts) {
		this.platform = platform;
		this.hosts = hosts;
	}

	/**
	 * Publishes rules in a release note and waits until every host reports their version,
	 * or a later one, as active.
	 * @param noteId the id of the release note
	 * @param rules the values of the rules by rule name
	 * @throws MasticwickException if a host does not report the version within 30
	 * seconds, or if publishing fails
	 */
	void publishAndAwait(String noteId, Map<String, String> rules) {
		try (SitePublisher publisher = new SitePublisher(this.platform)) {
			long version = publisher.setRules(noteId, rules, TIMEOUT);
			this.hosts.forEach((host) -> awaitVersion(host, version));
		}
	}

	private static void awaitVersion(HttpUrl host, long version) {
		long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
		JsonNode versionStatus = HostQuery.get(List.of(host), "v1/version");
		while (versionStatus.path("version").asLong() < version) {
			if (System.nanoTime() > deadlineNanos) {
				throw new MasticwickException(ErrorCode.NO_VERSION, host + " did not activate version " + version);
			}
			sleepPollInterval();
			versionStatus = HostQuery.get(List.of(host), "v1/version");
		}
	}

	private static void sleepPollInterval() {
		try {
			Thread.sleep(POLL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new MasticwickException(ErrorCode.INTERNAL, "Interrupted", ex);
		}
	}

}
