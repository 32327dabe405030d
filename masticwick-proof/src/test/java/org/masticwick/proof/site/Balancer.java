package org.masticwick.proof.site;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

import org.masticwick.core.process.HostAddress;
import org.masticwick.proof.support.ApiClient;
import org.masticwick.proof.support.EntryHostProcess;
import org.masticwick.proof.support.Site;

/**
 * Simulates the platform's load balancer: selects a random entry host among those that
 * reported ready within the configured lag, so that a host which is no longer ready still
 * receives requests for that long.
 */
final class Balancer implements AutoCloseable {

	private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

	private static final long PROBE_INTERVAL_MILLIS = 50;

	private final ApiClient client = new ApiClient(PROBE_TIMEOUT);

	private final Map<HostAddress, Long> lastReadyNanos = new ConcurrentHashMap<>();

	private final Site site;

	private final List<String> domains;

	private final long lagNanos;

	private final Thread thread = new Thread(this::run, "balancer");

	private volatile boolean closing;

	Balancer(Site site, List<String> domains, Duration lag) {
		this.site = site;
		this.domains = domains;
		this.lagNanos = lag.toNanos();
		this.thread.setDaemon(true);
		this.thread.start();
	}

	HostAddress choose(Random random) throws InterruptedException {
		while (true) {
			long now = System.nanoTime();
			List<HostAddress> hosts = this.lastReadyNanos.entrySet()
				.stream()
				.filter((host) -> now - host.getValue() < this.lagNanos)
				.map(Map.Entry::getKey)
				.sorted()
				.toList();
			if (!hosts.isEmpty()) {
				return hosts.get(random.nextInt(hosts.size()));
			}
			Thread.sleep(PROBE_INTERVAL_MILLIS);
		}
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
				this.domains.stream().flatMap((domain) -> this.site.entryHosts(domain).stream()).forEach(this::probe);
				Thread.sleep(PROBE_INTERVAL_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void probe(EntryHostProcess host) {
		try {
			if (host.process().alive() && this.client.send("GET", host.api(), "/ready").status() == 200) {
				this.lastReadyNanos.put(host.api(), System.nanoTime());
			}
		}
		catch (RuntimeException ex) {
			// An unreachable host counts as not ready.
		}
	}

}
