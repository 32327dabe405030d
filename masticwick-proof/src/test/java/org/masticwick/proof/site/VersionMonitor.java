package org.masticwick.proof.site;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.masticwick.proof.support.ApiClient;
import org.masticwick.proof.support.EntryHostProcess;
import org.masticwick.proof.support.Site;

/**
 * Polls the active version of each entry host through both interfaces that expose it (the
 * version resource and the metrics) and records each decrease.
 */
final class VersionMonitor implements AutoCloseable {

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final long INTERVAL_MILLIS = 50;

	private final ApiClient client = new ApiClient(TIMEOUT);

	private final Map<String, Long> highestVersions = new ConcurrentHashMap<>();

	private final Queue<String> decreases = new ConcurrentLinkedQueue<>();

	private final Site site;

	private final Thread thread = new Thread(this::run, "version-watch");

	private volatile boolean closing;

	private volatile int readCount;

	VersionMonitor(Site site) {
		this.site = site;
		this.thread.setDaemon(true);
		this.thread.start();
	}

	/**
	 * Returns the decreases of a host's version.
	 * @return a description of each
	 */
	List<String> decreases() {
		return List.copyOf(this.decreases);
	}

	int readCount() {
		return this.readCount;
	}

	@Override
	public void close() {
		this.closing = true;
		this.thread.interrupt();
		this.client.close();
	}

	private void run() {
		try {
			while (!this.closing) {
				this.site.domains()
					.stream()
					.flatMap((domain) -> this.site.entryHosts(domain).stream())
					.forEach(this::readVersions);
				Thread.sleep(INTERVAL_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void readVersions(EntryHostProcess host) {
		if (!host.process().alive()) {
			return;
		}
		try {
			recordVersion(host, this.client.send("GET", host.api(), "/v1/version").json().path("version").longValue());
			this.client.send("GET", host.api(), "/metrics")
				.body()
				.lines()
				.filter((line) -> line.startsWith("masticwick_version "))
				.forEach((line) -> recordVersion(host, (long) Double.parseDouble(line.substring(line.indexOf(' ')))));
		}
		catch (RuntimeException ex) {
			// The host is starting or has exited.
		}
	}

	private void recordVersion(EntryHostProcess host, long version) {
		this.readCount++;
		long highestVersion = this.highestVersions.merge(host.process().toString(), version, Math::max);
		if (version < highestVersion) {
			this.decreases.add(host.process() + " decreased from " + highestVersion + " to " + version);
		}
	}

}
