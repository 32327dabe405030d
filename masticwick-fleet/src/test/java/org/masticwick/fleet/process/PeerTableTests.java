package org.masticwick.fleet.process;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.pool.PoolLoad;
import org.masticwick.core.pool.PoolReport;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.wire.PeerMessage.HostReport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PeerTable}.
 */
class PeerTableTests {

	private static final HostAddress PEER = new HostAddress("10.0.0.1", 1);

	private static final HostAddress OTHER = new HostAddress("10.0.0.2", 1);

	private static final int LONG_INTERVAL_MILLIS = 375;

	private PeerTable peers;

	@BeforeEach
	void createTable() {
		this.peers = new PeerTable(0);
	}

	private static HostReport report(int intervalMillis, PoolReport... pools) {
		return new HostReport(1, false, List.of(pools), List.of(), false, true, intervalMillis, true,
				HostReport.DRAINS_UNKNOWN, List.of(), List.of());
	}

	private static PoolReport pool(long token, long freeMillicores) {
		return new PoolReport("d1", token, new PoolLoad(10, freeMillicores, 0, 0));
	}

	@Nested
	class Reachability {

		@ParameterizedTest
		@CsvSource({ "125, 260, true, false", "125, 261, true, true", "125, 500, true, true", "125, 501, false, true",
				"375, 760, true, false", "375, 761, true, true", "375, 1250, true, true", "375, 1251, false, true" })
		void dependsOnTheAnnouncedInterval(int intervalMillis, long ageMillis, boolean reachable, boolean suspect) {
			PeerTableTests.this.peers.recordReport(PEER, report(intervalMillis), 1_000);
			assertThat(PeerTableTests.this.peers.isReachable(PEER, 1_000 + ageMillis)).isEqualTo(reachable);
			assertThat(PeerTableTests.this.peers.isSuspect(PEER, 1_000 + ageMillis)).isEqualTo(suspect);
		}

		@Test
		void isLostSoonOnceFrequentReportsAreExpected() {
			PeerTableTests.this.peers.recordReport(PEER, report(LONG_INTERVAL_MILLIS), 1_000);
			PeerTableTests.this.peers.expectFrequentReports(PEER, 1_600);
			assertThat(PeerTableTests.this.peers.isReachable(PEER, 1_850)).isTrue();
			assertThat(PeerTableTests.this.peers.isReachable(PEER, 1_851)).isFalse();
		}

		@Test
		void ofALostPeerIsNotRestoredByTheExpectation() {
			PeerTableTests.this.peers.recordReport(PEER, report(LONG_INTERVAL_MILLIS), 1_000);
			PeerTableTests.this.peers.expectFrequentReports(PEER, 2_300);
			assertThat(PeerTableTests.this.peers.isReachable(PEER, 2_300)).isFalse();
		}

		@Test
		void endsSoonAfterADisconnection() {
			PeerTableTests.this.peers.recordReport(PEER, report(LONG_INTERVAL_MILLIS), 1_000);
			PeerTableTests.this.peers.recordDisconnection(PEER, 1_000);
			assertThat(PeerTableTests.this.peers.isReachable(PEER, 1_200)).isTrue();
			assertThat(PeerTableTests.this.peers.isReachable(PEER, 1_201)).isFalse();
		}

	}

	@Nested
	class Losses {

		private MemberRecord member(long startEpochMillis) {
			return new MemberRecord("host-2", "d1", PEER, new Incarnation(startEpochMillis, 1), 750);
		}

		/** An owner used to run the jobs of a host on that was restarted quickly. */
		@Test
		void includeThePreviousIncarnationOfAPeer() {
			PeerTableTests.this.peers.addMember(member(10));
			assertThat(PeerTableTests.this.peers.recordIncarnation(PEER, new Incarnation(10, 1))).isFalse();
			assertThat(PeerTableTests.this.peers.recordIncarnation(PEER, new Incarnation(11, 1))).isTrue();
			assertThat(PeerTableTests.this.peers.recordIncarnation(PEER, new Incarnation(10, 1))).isFalse();
		}

		/**
		 * An owner used to run the jobs of a host on that died before its first report.
		 */
		@Test
		void includeAPeerThatHasSentAJobAndNoReport() {
			PeerTableTests.this.peers.recordCall(PEER, 1_000);
			assertThat(PeerTableTests.this.peers.pollLostPeers(1_500)).isEmpty();
			assertThat(PeerTableTests.this.peers.pollLostPeers(1_501)).containsExactly(PEER);
			assertThat(PeerTableTests.this.peers.pollLostPeers(1_502)).isEmpty();
		}

		@Test
		void areReportedAgainForALostPeerThatSendsAJob() {
			PeerTableTests.this.peers.recordReport(PEER, report(125), 1_000);
			assertThat(PeerTableTests.this.peers.pollLostPeers(2_000)).containsExactly(PEER);
			PeerTableTests.this.peers.recordCall(PEER, 3_000);
			assertThat(PeerTableTests.this.peers.pollLostPeers(3_501)).containsExactly(PEER);
		}

	}

	@Nested
	class ReportedOwners {

		@Test
		void areThoseWithTheHighestToken() {
			PeerTableTests.this.peers.recordReport(PEER, report(125, pool(16, 1)), 1_000);
			PeerTableTests.this.peers.recordReport(OTHER, report(125, pool(32, 1)), 1_000);
			assertThat(PeerTableTests.this.peers.reportedOwner("d1").orElseThrow().address()).isEqualTo(OTHER);
		}

		@Test
		void followAPeerThatDropsAPool() {
			PeerTableTests.this.peers.recordReport(PEER, report(125, pool(16, 1)), 1_000);
			PeerTableTests.this.peers.recordReport(OTHER, report(125, pool(32, 1)), 1_000);
			PeerTableTests.this.peers.recordReport(OTHER, report(125), 1_100);
			assertThat(PeerTableTests.this.peers.reportedOwner("d1").orElseThrow().address()).isEqualTo(PEER);
		}

		@Test
		void keepTheirTokenWhenOnlyTheLoadChanges() {
			PeerTableTests.this.peers.recordReport(PEER, report(125, pool(16, 1)), 1_000);
			PeerTableTests.this.peers.recordReport(PEER, report(125, pool(16, 9)), 1_100);
			assertThat(PeerTableTests.this.peers.reportedOwner("d1").orElseThrow().fencingToken()).isEqualTo(16);
		}

	}

}
