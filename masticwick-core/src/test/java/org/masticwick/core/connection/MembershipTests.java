package org.masticwick.core.connection;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Membership}.
 */
class MembershipTests {

	private static final String NORTH = "north";

	private static final String SOUTH = "south";

	private static final MembershipLimits LIMITS = new MembershipLimits(1_500, 5_000, 8_000, 15_000, 60_000, 600_000,
			20);

	private static final EntryHost SELF = host(NORTH, 1, 100);

	private static final EntryHost PEER = host(NORTH, 2, 100);

	private static final EntryHost OTHER = host(NORTH, 3, 100);

	private static final EntryHost FAR = host(SOUTH, 4, 100);

	private final Membership membership = new Membership(SELF, LIMITS);

	private static EntryHost host(String domain, int port, long startEpochMillis) {
		return new EntryHost(domain, new HostAddress("10.0.0.1", port), new Incarnation(startEpochMillis, port));
	}

	private static PeerStatus status(boolean ready, boolean leaving, Incarnation... held) {
		return new PeerStatus(3, 30, "hash", ready, leaving, List.of(held), null, PeerStatus.NO_LOAD);
	}

	private static PeerStatus ready(Incarnation... held) {
		return status(true, false, held);
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private boolean beat(EntryHost host, long sequence, PeerStatus status, long atMillis) {
		return this.membership.observeHeartbeat(host, sequence, true, status, nanos(atMillis)).isPresent();
	}

	private boolean summary(EntryHost host, long sequence, PeerStatus status, long ageMillis, long atMillis) {
		return !this.membership
			.observeSummaries(List.of(HostSummary.of(host, sequence, status, ageMillis)), nanos(atMillis))
			.isEmpty();
	}

	private PeerView view(EntryHost host, long atMillis) {
		return this.membership.peerAt(host.peerAddress(), nanos(atMillis)).orElseThrow();
	}

	@Nested
	class LivenessOfPeers {

		@ParameterizedTest
		@CsvSource({ "0, ALIVE", "1500, ALIVE", "1501, SUSPECT", "5000, SUSPECT", "5001, LOST", "599999, LOST" })
		void followsTheAgeOfTheHeartbeat(long ageMillis, Liveness expected) {
			beat(PEER, 1, ready(), 10);
			assertThat(view(PEER, 10 + ageMillis).liveness()).isEqualTo(expected);
			assertThat(view(PEER, 10 + ageMillis).ageMillis()).isEqualTo(ageMillis);
		}

		@ParameterizedTest
		@CsvSource({ "0, 0, ALIVE", "0, 8000, ALIVE", "8000, 1, SUSPECT", "7000, 8001, LOST" })
		void countsTheAgeThatASummaryTells(long toldAgeMillis, long laterMillis, Liveness expected) {
			summary(FAR, 1, ready(), toldAgeMillis, 50_000);
			assertThat(view(FAR, 50_000 + laterMillis).liveness()).isEqualTo(expected);
		}

		@Test
		void isSuspectAfterAClosedConnectionUntilHeardAgain() {
			beat(PEER, 1, ready(), 0);
			MembershipTests.this.membership.observeDisconnect(PEER.peerAddress(), nanos(1));
			assertThat(view(PEER, 2).liveness()).isEqualTo(Liveness.SUSPECT);
			beat(PEER, 2, ready(), 3);
			assertThat(view(PEER, 4).liveness()).isEqualTo(Liveness.ALIVE);
		}

		@Test
		void returnsWhenAFrozenProcessResumes() {
			beat(PEER, 1, ready(), 0);
			assertThat(view(PEER, 60_000).liveness()).isEqualTo(Liveness.LOST);
			assertThat(beat(PEER, 2, ready(), 60_000)).isTrue();
			assertThat(view(PEER, 60_000)).extracting(PeerView::host, PeerView::liveness)
				.containsExactly(PEER, Liveness.ALIVE);
		}

	}

	@Nested
	class OrderOfKnowledge {

		@ParameterizedTest
		@CsvSource({ "4, false", "5, false", "6, true" })
		void passesOverOldHeartbeats(long sequence, boolean expected) {
			beat(PEER, 5, ready(), 0);
			assertThat(beat(PEER, sequence, status(false, true), 10)).isEqualTo(expected);
			assertThat(view(PEER, 10).status().leaving()).isEqualTo(expected);
		}

		@ParameterizedTest
		@CsvSource({ "99, 1000, false", "101, 1000, true", "99, 5000, false", "99, 5001, true" })
		void believesAnOlderRunOnlyOnceTheKnownOneIsLost(long startEpochMillis, long atMillis, boolean expected) {
			beat(PEER, 5, ready(), 0);
			EntryHost otherRun = host(NORTH, 2, startEpochMillis);
			assertThat(beat(otherRun, 1, ready(), atMillis)).isEqualTo(expected);
			assertThat(view(PEER, atMillis).host()).isEqualTo(expected ? otherRun : PEER);
		}

		@ParameterizedTest
		@CsvSource({ "6, 1000, false", "6, 2000, true", "5, 2000, false" })
		void takesSummariesOfSilentPeersOnly(long sequence, long atMillis, boolean expected) {
			beat(PEER, 5, ready(), 0);
			assertThat(summary(PEER, sequence, ready(), 100, atMillis)).isEqualTo(expected);
		}

		@ParameterizedTest
		@CsvSource({ "true, 2, true", "false, 2, false", "true, 1, false" })
		void takesSummariesWithoutStatusForTheStatusThatItKnows(boolean same, long sequence, boolean expected) {
			summary(FAR, 1, ready(), 0, 0);
			HostSummary again = HostSummary.of(FAR, sequence, status(same, false), 0).withoutStatus();
			assertThat(MembershipTests.this.membership.observeSummaries(List.of(again), nanos(9_000)))
				.hasSize(expected ? 1 : 0);
			assertThat(view(FAR, 9_000).ageMillis()).isEqualTo(expected ? 0 : 9_000);
		}

		@Test
		void passesOverItself() {
			assertThat(beat(SELF, 1, ready(), 0)).isFalse();
			assertThat(summary(host(NORTH, 1, 99), 1, ready(), 0, 0)).isFalse();
			assertThat(MembershipTests.this.membership.observeHello(SELF, 0)).isFalse();
			assertThat(MembershipTests.this.membership.peers(0)).isEmpty();
		}

		@Test
		void mergesChangedLoad() {
			LoadReport whole = new LoadReport(Map.of(), Map.of(OTHER.peerAddress(), 3, FAR.peerAddress(), 4), Map.of());
			LoadReport change = new LoadReport(Map.of(), Map.of(OTHER.peerAddress(), 0, SELF.peerAddress(), 1),
					Map.of());
			beat(PEER, 1, ready().withLoad(whole), 0);
			MembershipTests.this.membership.observeHeartbeat(PEER, 2, false, ready().withLoad(change), 1);
			assertThat(view(PEER, 1).status().load().outstanding())
				.containsExactlyInAnyOrderEntriesOf(Map.of(FAR.peerAddress(), 4, SELF.peerAddress(), 1));
		}

		@Test
		void knowsWhetherARunIsNew() {
			assertThat(MembershipTests.this.membership.observeHello(PEER, 0)).isTrue();
			assertThat(MembershipTests.this.membership.observeHello(PEER, 0)).isFalse();
			assertThat(MembershipTests.this.membership.observeHello(host(NORTH, 2, 101), 0)).isTrue();
		}

	}

	@Nested
	class HoldersOfTickets {

		private final Incarnation gone = new Incarnation(50, 50);

		@Test
		void areTheRunsThemselves() {
			beat(PEER, 1, ready(), 0);
			assertThat(holder(PEER.incarnation(), 0)).isEqualTo(PEER);
			assertThat(holder(this.gone, 0)).isNull();
		}

		@Test
		void areHeirsBeforeTheRunThatPassedThemOn() {
			beat(PEER, 1, status(false, true), 0);
			beat(OTHER, 1, ready(PEER.incarnation()), 0);
			assertThat(holder(PEER.incarnation(), 0)).isEqualTo(OTHER);
		}

		@ParameterizedTest
		@CsvSource({ "false, 0, 2", "true, 0, 3", "false, 9000, 3" })
		void areTheHeirsThatStayAndLive(boolean firstLeaves, long secondAtMillis, int expectedPort) {
			beat(PEER, 1, status(true, firstLeaves, this.gone), 0);
			beat(OTHER, 1, status(true, !firstLeaves, this.gone), secondAtMillis);
			assertThat(holder(this.gone, secondAtMillis).peerAddress().port()).isEqualTo(expectedPort);
		}

		@ParameterizedTest
		@CsvSource({ "100, 0, false", "99, 0, true", "101, 0, false", "99, 5001, false" })
		void haveEndedWhenAYoungerRunIsHeardAtTheirAddress(long startEpochMillis, long atMillis, boolean expected) {
			beat(PEER, 1, ready(), 0);
			assertThat(MembershipTests.this.membership.isReplaced(PEER.peerAddress(),
					new Incarnation(startEpochMillis, 2), nanos(atMillis)))
				.isEqualTo(expected);
		}

		@ParameterizedTest
		@CsvSource({ "true, false, 0, false, true", "false, false, 0, false, false", "true, true, 0, false, false",
				"true, false, 1501, false, false", "true, false, 0, true, false" })
		void passTheirTicketsToPeersThatServe(boolean ready, boolean leaving, long ageMillis, boolean listedAsLeaving,
				boolean expected) {
			beat(FAR, 1, ready(), 0);
			beat(PEER, 1, status(ready, leaving), 0);
			MembershipTests.this.membership
				.observeListedHosts(List.of(new ListedHost(PEER.peerAddress(), NORTH, listedAsLeaving)));
			assertThat(MembershipTests.this.membership.successorCandidates(nanos(ageMillis))).extracting(PeerView::host)
				.isEqualTo(expected ? List.of(PEER) : List.of());
		}

		private EntryHost holder(Incarnation incarnation, long atMillis) {
			return MembershipTests.this.membership.holderOf(incarnation, nanos(atMillis))
				.map(PeerView::host)
				.orElse(null);
		}

	}

	@Nested
	class InForce {

		@ParameterizedTest
		@CsvSource({ "true, false, 0, READY", "false, false, 0, STARTING", "true, true, 0, LEAVING",
				"true, false, 3000, READY", "true, false, 5001, UNKNOWN" })
		void tellsTheStateOfEachHost(boolean ready, boolean leaving, long ageMillis, HostVersionStatus.State expected) {
			beat(PEER, 1, status(ready, leaving), 0);
			assertThat(inForce(ageMillis).get(NORTH))
				.contains(new HostVersionStatus(PEER.peerAddress(), PEER.incarnation(), 3, 30, ageMillis, expected));
		}

		@Test
		void showsItselfAndListedHostsThatWereNeverHeardOf() {
			MembershipTests.this.membership.observeListedHosts(List.of(new ListedHost(FAR.peerAddress(), SOUTH, false),
					new ListedHost(SELF.peerAddress(), NORTH, false)));
			assertThat(inForce(0)).isEqualTo(Map.of(NORTH,
					List.of(new HostVersionStatus(SELF.peerAddress(), SELF.incarnation(), 3, 30, 0,
							HostVersionStatus.State.READY)),
					SOUTH, List.of(new HostVersionStatus(FAR.peerAddress(), null, 0, 0, -1,
							HostVersionStatus.State.UNKNOWN))));
		}

		@ParameterizedTest
		@CsvSource({ "true, false, 5001, 0", "false, false, 5001, 1", "false, false, 60001, 0",
				"false, true, 60001, 1" })
		void leavesOutHostsThatAreGone(boolean leaving, boolean listed, long ageMillis, int expectedCount) {
			beat(FAR, 1, status(true, leaving), 0);
			MembershipTests.this.membership.observeListedHosts(
					List.of(new ListedHost(listed ? FAR.peerAddress() : OTHER.peerAddress(), SOUTH, false)));
			assertThat(inForce(ageMillis).getOrDefault(SOUTH, List.of()))
				.filteredOn((host) -> host.incarnation() != null)
				.hasSize(expectedCount);
		}

		private Map<String, List<HostVersionStatus>> inForce(long atMillis) {
			return MembershipTests.this.membership.versionStatusByDomain(ready(), nanos(atMillis));
		}

	}

	@Nested
	class Memory {

		@Test
		void forgetsPeersThatAreLostForLong() {
			beat(PEER, 1, ready(), 0);
			MembershipTests.this.membership.evictLost(nanos(600_000));
			assertThat(MembershipTests.this.membership.peers(nanos(600_000))).hasSize(1);
			MembershipTests.this.membership.evictLost(nanos(600_001));
			assertThat(MembershipTests.this.membership.peers(nanos(600_001))).isEmpty();
		}

		@Test
		void isBoundedAndKeepsTheNewest() {
			for (int port = 10; port < 50; port++) {
				beat(host(NORTH, port, 1), 1, ready(), port);
			}
			assertThat(MembershipTests.this.membership.peers(nanos(50))).hasSize(20)
				.allMatch((view) -> view.host().peerAddress().port() >= 30);
		}

	}

}
