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
 * Brings rules into force on all hosts between the runs of a plan.
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
	 * Sets rules and waits until every host says that they are in force.
	 * @param noteId the id of the note
	 * @param rules the values by rule name
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
				throw new MasticwickException(ErrorCode.NO_VERSION, host + " does not follow to version " + version);
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
