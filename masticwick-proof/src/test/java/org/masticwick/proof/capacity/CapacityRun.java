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
 * Starts a site of a size, lets it idle, and prints what its entry hosts cost: processor
 * time, memory, and bytes towards the platform and between entry hosts.
 */
public final class CapacityRun {

	private static final String SERVICE = "shop-counter-fitting";

	private static final Pattern SENT = Pattern
		.compile("masticwick_peer_sent_bytes_total\\{[^}]*type=\"([^\"]+)\"[^}]*} (\\S+)");

	private static final Pattern REMEMBERED = Pattern.compile("(?m)^masticwick_remembered_(\\w+) (\\S+)");

	private static final long LEASE_MILLIS = TimeUnit.HOURS.toMillis(1);

	private static final Duration SETTLE = Duration.ofMillis(1_500);

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
	 * Measures a site.
	 * @param arguments the size, as {@code name=value}
	 */
	public static void main(String... arguments) {
		CapacityOptions options = CapacityOptions.parse(arguments);
		List<String> domains = IntStream.range(0, options.domainCount())
			.mapToObj((index) -> "domain-" + index)
			.toList();
		SiteOptions site = SiteOptions.of(domains.toArray(String[]::new))
			.withWorkers(options.workerCount(), 8)
			.withEntryHosts(options.hostCount())
			.withService(SERVICE);
		try (Site started = Site.start(site)) {
			started.awaitReady();
			new CapacityRun(options, started, domains).run();
		}
		System.exit(0);
	}

	private void run() {
		System.out.println(this.options);
		System.out.println("hosts="
				+ this.hosts.stream().map((host) -> host.api().toString()).collect(Collectors.joining(",")) + " pids="
				+ this.hosts.stream().map((host) -> "" + host.process().pid()).collect(Collectors.joining(",")));
		this.site.publish(CapacityNotes.size(this.options, this.domains));
		IntStream.range(0, this.options.endpointCount()).forEach(this::list);
		pause(Duration.ofSeconds(this.options.warmupSeconds()));
		IntStream.range(0, this.options.sampleCount()).forEach((index) -> sample());
		pause(SETTLE);
		NoteTimes notes = new NoteTimes(this.site, this.hosts);
		if (this.options.noteCount() > 0) {
			System.out.println("notes " + notes.oneByOne(this.options.noteCount(), this.options.noteBytes()));
		}
		if (this.options.burstCount() > 0) {
			System.out.println("burst " + notes.atOnce(this.options.burstCount(), this.options.noteBytes()));
		}
	}

	private void list(int index) {
		String body = ApiClient.write(Map.of("role", "endpoint", "domain",
				this.domains.get(index % this.domains.size()), "state", "live", "lease_ms", LEASE_MILLIS));
		this.site.client()
			.send("PUT", this.site.platform().address(), "/hosts/" + CapacityNotes.endpoint(index), body, Map.of());
	}

	private void sample() {
		Map<String, Double> typesBefore = sentByType();
		Map<Long, ProcessSample> before = processes();
		SocketBytes socketsBefore = SocketBytes.read();
		long startNanos = System.nanoTime();
		pause(Duration.ofSeconds(this.options.sampleSeconds()));
		Map<Long, ProcessSample> after = processes();
		SocketBytes sockets = SocketBytes.read();
		double seconds = (System.nanoTime() - startNanos) / 1e9;
		Set<Integer> platformPorts = this.domains.stream()
			.map((domain) -> this.site.platformRelay(domain).address().port())
			.collect(Collectors.toSet());
		Map<Long, SocketBytes.Bytes> all = bytes(sockets, socketsBefore, Set.of());
		Map<Long, SocketBytes.Bytes> platform = bytes(sockets, socketsBefore, platformPorts);
		print("cpu_percent", (pid) -> (after.get(pid).cpuMillis() - before.get(pid).cpuMillis()) / seconds / 10);
		print("rss_mb", (pid) -> after.get(pid).residentKilobytes() / 1024.0);
		print("sent_bytes_s", (pid) -> all.get(pid).sent() / seconds);
		print("received_bytes_s", (pid) -> all.get(pid).received() / seconds);
		print("platform_sent_bytes_s", (pid) -> platform.get(pid).sent() / seconds);
		print("platform_received_bytes_s", (pid) -> platform.get(pid).received() / seconds);
		Map<String, Double> types = sentByType();
		types.replaceAll((type, bytes) -> Math
			.rint((bytes - typesBefore.getOrDefault(type, 0.0)) / seconds / this.hosts.size()));
		System.out.println("peer_sent_bytes_s_by_type " + types);
		System.out.println("remembered_total " + totals(REMEMBERED));
	}

	private Map<Long, SocketBytes.Bytes> bytes(SocketBytes now, SocketBytes before, Set<Integer> remotePorts) {
		return this.hosts.stream()
			.collect(Collectors.toMap((host) -> host.process().pid(),
					(host) -> now.since(host.process().pid(), before, Set.of(host.api().port()), remotePorts)));
	}

	private Map<Long, ProcessSample> processes() {
		return this.hosts.stream()
			.collect(
					Collectors.toMap((host) -> host.process().pid(), (host) -> ProcessSample.of(host.process().pid())));
	}

	private Map<String, Double> sentByType() {
		return totals(SENT);
	}

	private Map<String, Double> totals(Pattern pattern) {
		Map<String, Double> totals = new HashMap<>();
		this.hosts.stream().map(EntryHostProcess::api).forEach((api) -> add(pattern, api, totals));
		return totals;
	}

	private void add(Pattern pattern, HostAddress api, Map<String, Double> totals) {
		Matcher matcher = pattern.matcher(this.site.client().send("GET", api, "/metrics").body());
		while (matcher.find()) {
			totals.merge(matcher.group(1), Double.valueOf(matcher.group(2)), Double::sum);
		}
	}

	private void print(String name, ToDoubleFunction<Long> value) {
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
