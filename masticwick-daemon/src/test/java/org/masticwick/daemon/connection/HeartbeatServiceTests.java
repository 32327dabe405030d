package org.masticwick.daemon.connection;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.masticwick.core.connection.HostVersionStatus;
import org.masticwick.core.connection.ListedHost;
import org.masticwick.core.connection.Liveness;
import org.masticwick.core.connection.LoadReport;
import org.masticwick.core.connection.PeerStatus;
import org.masticwick.core.connection.PeerView;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link HeartbeatService} between two failure domains of three hosts each, in
 * a fake network.
 */
class HeartbeatServiceTests {

	private static final String NORTH = "north";

	private static final String SOUTH = "south";

	private static final long INTERVAL_MILLIS = 1_000;

	private static final HostAddress SEED = new HostAddress("10.0.0.1", 1);

	private final FakeNetwork network = new FakeNetwork();

	private List<FakeNetwork.Node> north;

	private List<FakeNetwork.Node> south;

	@BeforeEach
	void startTwoDomains() {
		this.north = IntStream.range(1, 4).mapToObj((port) -> start(NORTH, port, 1)).toList();
		this.south = IntStream.range(4, 7).mapToObj((port) -> start(SOUTH, port, 1)).toList();
		run(12);
	}

	private FakeNetwork.Node start(String domain, int port, long startEpochMillis) {
		EntryHost host = new EntryHost(domain, new HostAddress("10.0.0.1", port),
				new Incarnation(startEpochMillis, port));
		return this.network.start(host, HeartbeatSettings.of(List.of(SEED)));
	}

	private void run(int roundCount) {
		this.network.run(roundCount, INTERVAL_MILLIS);
	}

	private static PeerStatus status(long versionNumber, boolean leaving, LoadReport load) {
		return new PeerStatus(versionNumber, versionNumber, null, true, leaving, List.of(), null, load);
	}

	@Nested
	class Discovery {

		@Test
		void findsAllHostsFromOneSeed() {
			for (FakeNetwork.Node node : HeartbeatServiceTests.this.north) {
				assertThat(node.membership.peers(HeartbeatServiceTests.this.network.nanoTime())).hasSize(5)
					.allMatch(PeerView::isServing);
			}
		}

		@Test
		void findsHostsOfThePlatformsList() {
			FakeNetwork.Node unconnected = HeartbeatServiceTests.this.network.start(
					new EntryHost("west", new HostAddress("10.0.0.1", 7), new Incarnation(1, 7)),
					HeartbeatSettings.of(List.of()));
			FakeNetwork.Node listed = HeartbeatServiceTests.this.south.get(0);
			unconnected.service.updateListedHosts(List.of(new ListedHost(listed.host.peerAddress(), SOUTH, false)));
			run(12);
			assertThat(unconnected.membership.peers(HeartbeatServiceTests.this.network.nanoTime())).hasSize(6);
		}

	}

	@Nested
	class StatusUpdates {

		@Test
		void reportANewVersionToTheOtherDomainWithinThreeRounds() {
			HeartbeatServiceTests.this.south.get(0).status = status(2, false, PeerStatus.NO_LOAD);
			run(3);
			assertThat(HeartbeatServiceTests.this.north)
				.allSatisfy((node) -> assertThat(node.aheadPeers).extracting((peer) -> peer.status().versionNumber())
					.contains(2L));
		}

		@Test
		void reportALeavingHostToTheOtherDomainWithinThreeRounds() {
			HeartbeatServiceTests.this.south.get(1).status = status(1, true, PeerStatus.NO_LOAD);
			run(3);
			assertThat(HeartbeatServiceTests.this.north)
				.allSatisfy((node) -> assertThat(node.view(HeartbeatServiceTests.this.south.get(1)).status().leaving())
					.isTrue());
		}

		@Test
		void includeTheLoadOnlyWithinTheDomain() {
			LoadReport load = new LoadReport(Map.of(), Map.of(SEED, 3), Map.of());
			FakeNetwork.Node busy = HeartbeatServiceTests.this.north.get(0);
			busy.status = status(1, false, load);
			run(2);
			assertThat(HeartbeatServiceTests.this.north.get(1).view(busy).status().load()).isEqualTo(load);
			assertThat(HeartbeatServiceTests.this.south.get(1).view(busy).status().load())
				.isEqualTo(PeerStatus.NO_LOAD);
		}

	}

	@Nested
	class Loss {

		@Test
		void ofAHostIsReportedOnce() {
			FakeNetwork.Node stopped = HeartbeatServiceTests.this.north.get(2);
			HeartbeatServiceTests.this.network.stop(stopped);
			run(60);
			assertThat(HeartbeatServiceTests.this.north.get(0).lostPeers).extracting(PeerView::host)
				.containsExactly(stopped.host);
			assertThat(HeartbeatServiceTests.this.south.get(0).lostPeers).extracting(PeerView::host)
				.containsExactly(stopped.host);
		}

		@Test
		void ofAReplacedHostIsReportedAsReplacement() {
			FakeNetwork.Node stopped = HeartbeatServiceTests.this.north.get(2);
			HeartbeatServiceTests.this.network.stop(stopped);
			FakeNetwork.Node successor = start(NORTH, 3, 2);
			run(2);
			assertThat(HeartbeatServiceTests.this.north.get(0).replacedHosts).containsExactly(stopped.host);
			assertThat(HeartbeatServiceTests.this.north.get(0).view(successor).liveness()).isEqualTo(Liveness.ALIVE);
		}

		@Test
		void ofADomainIsUndoneWhenThePartitionHeals() {
			FakeNetwork.Node observer = HeartbeatServiceTests.this.north.get(0);
			HeartbeatServiceTests.this.network.partition(SOUTH);
			run(60);
			assertThat(statesOfSouth(observer)).containsOnly(HostVersionStatus.State.UNKNOWN);
			HeartbeatServiceTests.this.network.heal();
			run(12);
			assertThat(statesOfSouth(observer)).hasSize(3).containsOnly(HostVersionStatus.State.READY);
		}

		private List<HostVersionStatus.State> statesOfSouth(FakeNetwork.Node observer) {
			return observer.membership
				.versionStatusByDomain(observer.status, HeartbeatServiceTests.this.network.nanoTime())
				.get(SOUTH)
				.stream()
				.map(HostVersionStatus::state)
				.toList();
		}

	}

}
