package org.masticwick.daemon.connection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.masticwick.core.connection.LoadReport;
import org.masticwick.core.connection.PeerStatus;
import org.masticwick.core.connection.ServiceLoad;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Measures the bytes of heartbeats and summaries per host at the target size of a site,
 * while all loads change in each round. Guards the budget of 4 KiB per second that each
 * host may send.
 */
class HeartbeatBytesTests {

	private static final long SEED = 20_261_203;

	private static final int DOMAIN_COUNT = 7;

	private static final int HOSTS_PER_DOMAIN = 9;

	private static final int ENDPOINTS_PER_DOMAIN = 99;

	private static final int TEAM_COUNT = 160;

	private static final int ROUND_COUNT = 120;

	private static final long INTERVAL_MILLIS = 1_000;

	private static final long MAX_BYTES_PER_SECOND = 4 * 1024;

	private final Random random = new Random(SEED);

	private final FakeNetwork network = new FakeNetwork();

	private final List<FakeNetwork.Node> nodes = new ArrayList<>();

	@Test
	void staysBelowTheByteBudgetOfEachHost() {
		startAll();
		run(20);
		Map<FakeNetwork.Node, Long> totalsBefore = totalBytesByNode();
		Map<String, Long> typeTotalsBefore = totalBytesByType();
		run(ROUND_COUNT);
		double seconds = ROUND_COUNT * INTERVAL_MILLIS / 1_000.0;
		Map<FakeNetwork.Node, Long> bytesPerSecond = new HashMap<>();
		totalBytesByNode()
			.forEach((node, bytes) -> bytesPerSecond.put(node, Math.round((bytes - totalsBefore.get(node)) / seconds)));
		System.out.printf("Heartbeat bytes per second and host, seed %d: mean %.0f, maximum %d; mean by type %s%n",
				SEED, bytesPerSecond.values().stream().mapToLong(Long::longValue).average().orElseThrow(),
				bytesPerSecond.values().stream().mapToLong(Long::longValue).max().orElseThrow(),
				meanBytesPerSecondByType(typeTotalsBefore, seconds));
		assertThat(bytesPerSecond.values()).allMatch((bytes) -> bytes < MAX_BYTES_PER_SECOND);
	}

	private void startAll() {
		List<HostAddress> seeds = List.of(address(0, 0));
		for (int domain = 0; domain < DOMAIN_COUNT; domain++) {
			for (int index = 0; index < HOSTS_PER_DOMAIN; index++) {
				EntryHost host = new EntryHost("failure-domain-" + domain, address(domain, index),
						new Incarnation(1_764_800_000_000L + index, this.random.nextLong(Long.MAX_VALUE)));
				this.nodes.add(this.network.start(host, HeartbeatSettings.of(seeds)));
			}
		}
	}

	private void run(int roundCount) {
		for (int round = 0; round < roundCount; round++) {
			this.nodes.forEach((node) -> node.status = randomStatus(node));
			this.network.run(1, INTERVAL_MILLIS);
		}
	}

	private PeerStatus randomStatus(FakeNetwork.Node node) {
		Map<HostAddress, Integer> outstanding = IntStream.range(0, ENDPOINTS_PER_DOMAIN)
			.boxed()
			.collect(Collectors.toMap((index) -> new HostAddress("10.9.0." + index, 8_080),
					(index) -> this.random.nextInt(9)));
		Map<String, Integer> teams = IntStream.range(0, TEAM_COUNT)
			.boxed()
			.collect(Collectors.toMap((index) -> "team-number-" + index, (index) -> this.random.nextInt(5)));
		Map<String, ServiceLoad> services = Map.of("meal-application", randomLoad(), "shop-counter-fitting",
				randomLoad());
		return new PeerStatus(1_000, 100_000, "0123456789abcdef", true, false, List.of(new Incarnation(1, 2)),
				node.host.peerAddress(), new LoadReport(services, outstanding, teams));
	}

	private ServiceLoad randomLoad() {
		return new ServiceLoad(this.random.nextInt(1_000), this.random.nextInt(200), 264, this.random.nextInt(2_000));
	}

	private Map<FakeNetwork.Node, Long> totalBytesByNode() {
		return this.nodes.stream()
			.collect(Collectors.toMap((node) -> node,
					(node) -> node.sentBytes.values().stream().mapToLong(Long::longValue).sum()));
	}

	private Map<String, Long> meanBytesPerSecondByType(Map<String, Long> totalsBefore, double seconds) {
		Map<String, Long> result = totalBytesByType();
		result.replaceAll((type, bytes) -> Math.round((bytes - totalsBefore.get(type)) / seconds / this.nodes.size()));
		return result;
	}

	private Map<String, Long> totalBytesByType() {
		Map<String, Long> result = new TreeMap<>();
		this.nodes.forEach((node) -> node.sentBytes.forEach((type, bytes) -> result.merge(type, bytes, Long::sum)));
		return result;
	}

	private static HostAddress address(int domain, int index) {
		return new HostAddress("10." + domain + ".0." + (index + 1), 7_000);
	}

}
