package org.masticwick.proof.capacity;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.masticwick.core.process.HostAddress;
import org.masticwick.proof.support.ApiClient;
import org.masticwick.proof.support.EntryHostProcess;
import org.masticwick.proof.support.Site;
import org.masticwick.proof.support.SiteOptions;

/**
 * Starts a site of a given size, lets it idle, and prints the resource usage of its entry
 * hosts: processor time, memory, and the bytes exchanged with the platform and between
 * entry hosts.
 */
public final class CapacityRun {

	private static final String SERVICE = "shop-counter-fitting";

	private static final Pattern PEER_SENT_METRIC = Pattern
		.compile("masticwick_peer_sent_bytes_total\\{[^}]*type=\"([^\"]+)\"[^}]*} (\\S+)");

	private static final Pattern REMEMBERED_METRIC = Pattern.compile("(?m)^masticwick_remembered_(\\w+) (\\S+)");

	private static final long LEASE_MILLIS = TimeUnit.HOURS.toMillis(1);

	private static final Duration SETTLE_TIME = Duration.ofMillis(1_500);

	private final CapacityOptions options;

	private final Site site;

	private final List<String> domains;

	private final List<EntryHostProcess> hosts;

	private CapacityRun(CapacityOptions options, Site site, List<String> domains) {
		this.options = options;
		this.site = site;
		this.domains = domains;
		this.hosts = domains.stream().flatMap((domain) -> site.entryHosts(domain).stream()).toList();
	}

	/**
	 * Measures a site and exits.
	 * @param arguments the options as {@code name=value}, see {@link CapacityOptions}
	 */
	public static void main(String... arguments) {
		CapacityOptions options = CapacityOptions.parse(arguments);
		List<String> domains = IntStream.range(0, options.domainCount())
			.mapToObj((index) -> "domain-" + index)
			.toList();
		SiteOptions siteOptions = SiteOptions.of(domains.toArray(String[]::new))
			.withWorkers(options.workerCount(), 8)
			.withEntryHosts(options.hostCount())
			.withService(SERVICE);
		try (Site site = Site.start(siteOptions)) {
			site.awaitReady();
			new CapacityRun(options, site, domains).run();
		}
		System.exit(0);
	}

	private void run() {
		System.out.println(this.options);
		System.out.println("hosts="
				+ this.hosts.stream().map((host) -> host.api().toString()).collect(Collectors.joining(",")) + " pids="
				+ this.hosts.stream().map((host) -> "" + host.process().pid()).collect(Collectors.joining(",")));
		this.site.publish(CapacityNotes.siteSizeNote(this.options, this.domains));
		IntStream.range(0, this.options.endpointCount()).forEach(this::registerEndpoint);
		pause(Duration.ofSeconds(this.options.warmupSeconds()));
		IntStream.range(0, this.options.sampleCount()).forEach((index) -> takeSample());
		pause(SETTLE_TIME);
		NoteTimes notes = new NoteTimes(this.site, this.hosts);
		if (this.options.noteCount() > 0) {
			System.out
				.println("notes " + notes.publishSequentially(this.options.noteCount(), this.options.noteBytes()));
		}
		if (this.options.burstCount() > 0) {
			System.out
				.println("burst " + notes.publishConcurrently(this.options.burstCount(), this.options.noteBytes()));
		}
	}

	private void registerEndpoint(int index) {
		String body = ApiClient.write(Map.of("role", "endpoint", "domain",
				this.domains.get(index % this.domains.size()), "state", "live", "lease_ms", LEASE_MILLIS));
		this.site.client()
			.send("PUT", this.site.platform().address(), "/hosts/" + CapacityNotes.endpoint(index), body, Map.of());
	}

	private void takeSample() {
		Map<String, Double> sentByTypeBefore = peerSentByType();
		Map<Long, ProcessSample> processesBefore = processes();
		SocketBytes socketsBefore = SocketBytes.read();
		long startNanos = System.nanoTime();
		pause(Duration.ofSeconds(this.options.sampleSeconds()));
		Map<Long, ProcessSample> processesAfter = processes();
		SocketBytes socketsAfter = SocketBytes.read();
		double seconds = (System.nanoTime() - startNanos) / 1e9;
		Set<Integer> platformPorts = this.domains.stream()
			.map((domain) -> this.site.platformRelay(domain).address().port())
			.collect(Collectors.toSet());
		Map<Long, SocketBytes.Bytes> allTraffic = traffic(socketsAfter, socketsBefore, Set.of());
		Map<Long, SocketBytes.Bytes> platformTraffic = traffic(socketsAfter, socketsBefore, platformPorts);
		printMeanAndMax("cpu_percent",
				(pid) -> (processesAfter.get(pid).cpuMillis() - processesBefore.get(pid).cpuMillis()) / seconds / 10);
		printMeanAndMax("rss_mb", (pid) -> processesAfter.get(pid).residentKilobytes() / 1024.0);
		printMeanAndMax("sent_bytes_s", (pid) -> allTraffic.get(pid).sent() / seconds);
		printMeanAndMax("received_bytes_s", (pid) -> allTraffic.get(pid).received() / seconds);
		printMeanAndMax("platform_sent_bytes_s", (pid) -> platformTraffic.get(pid).sent() / seconds);
		printMeanAndMax("platform_received_bytes_s", (pid) -> platformTraffic.get(pid).received() / seconds);
		Map<String, Double> sentByType = peerSentByType();
		sentByType.replaceAll((type, bytes) -> Math
			.rint((bytes - sentByTypeBefore.getOrDefault(type, 0.0)) / seconds / this.hosts.size()));
		System.out.println("peer_sent_bytes_s_by_type " + sentByType);
		System.out.println("remembered_total " + metricTotals(REMEMBERED_METRIC));
	}

	private Map<Long, SocketBytes.Bytes> traffic(SocketBytes socketsAfter, SocketBytes socketsBefore,
			Set<Integer> remotePorts) {
		return this.hosts.stream()
			.collect(Collectors.toMap((host) -> host.process().pid(), (host) -> socketsAfter.since(host.process().pid(),
					socketsBefore, Set.of(host.api().port()), remotePorts)));
	}

	private Map<Long, ProcessSample> processes() {
		return this.hosts.stream()
			.collect(
					Collectors.toMap((host) -> host.process().pid(), (host) -> ProcessSample.of(host.process().pid())));
	}

	private Map<String, Double> peerSentByType() {
		return metricTotals(PEER_SENT_METRIC);
	}

	private Map<String, Double> metricTotals(Pattern pattern) {
		Map<String, Double> totals = new HashMap<>();
		this.hosts.stream().map(EntryHostProcess::api).forEach((api) -> addMetric(pattern, api, totals));
		return totals;
	}

	private void addMetric(Pattern pattern, HostAddress api, Map<String, Double> totals) {
		Matcher matcher = pattern.matcher(this.site.client().send("GET", api, "/metrics").body());
		while (matcher.find()) {
			totals.merge(matcher.group(1), Double.valueOf(matcher.group(2)), Double::sum);
		}
	}

	private void printMeanAndMax(String name, ToDoubleFunction<Long> value) {
		double[] values = this.hosts.stream().map((host) -> host.process().pid()).mapToDouble(value).sorted().toArray();
		double mean = IntStream.range(0, values.length).mapToDouble((index) -> values[index]).sum() / values.length;
		System.out.printf(Locale.ROOT, "%s mean=%.2f max=%.2f%n", name, mean, values[values.length - 1]);
	}

	private static void pause(Duration duration) {
		try {
			Thread.sleep(duration.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
