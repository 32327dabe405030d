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

	private static final EntryHost SECOND_PEER = host(NORTH, 3, 100);

	private static final EntryHost REMOTE_PEER = host(SOUTH, 4, 100);

	private final Membership membership = new Membership(SELF, LIMITS);

	private static EntryHost host(String domain, int port, long startEpochMillis) {
		return new EntryHost(domain, new HostAddress("10.0.0.1", port), new Incarnation(startEpochMillis, port));
	}

	private static PeerStatus statusOf(boolean ready, boolean leaving, Incarnation... held) {
		return new PeerStatus(3, 30, "hash", ready, leaving, List.of(held), null, PeerStatus.NO_LOAD);
	}

	private static PeerStatus readyStatus(Incarnation... held) {
		return statusOf(true, false, held);
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private boolean observeHeartbeat(EntryHost host, long sequence, PeerStatus status, long atMillis) {
		return this.membership.observeHeartbeat(host, sequence, true, status, nanos(atMillis)).isPresent();
	}

	private boolean observeSummary(EntryHost host, long sequence, PeerStatus status, long ageMillis, long atMillis) {
		return !this.membership
			.observeSummaries(List.of(HostSummary.of(host, sequence, status, ageMillis)), nanos(atMillis))
			.isEmpty();
	}

	private PeerView viewOf(EntryHost host, long atMillis) {
		return this.membership.peerAt(host.peerAddress(), nanos(atMillis)).orElseThrow();
	}

	@Nested
	class LivenessOfPeers {

		@ParameterizedTest
		@CsvSource({ "0, ALIVE", "1500, ALIVE", "1501, SUSPECT", "5000, SUSPECT", "5001, LOST", "599999, LOST" })
		void followsAgeOfLastHeartbeat(long ageMillis, Liveness expected) {
			observeHeartbeat(PEER, 1, readyStatus(), 10);
			assertThat(viewOf(PEER, 10 + ageMillis).liveness()).isEqualTo(expected);
			assertThat(viewOf(PEER, 10 + ageMillis).ageMillis()).isEqualTo(ageMillis);
		}

		@ParameterizedTest
		@CsvSource({ "0, 0, ALIVE", "0, 8000, ALIVE", "8000, 1, SUSPECT", "7000, 8001, LOST" })
		void addsAgeReportedInSummary(long reportedAgeMillis, long delayMillis, Liveness expected) {
			observeSummary(REMOTE_PEER, 1, readyStatus(), reportedAgeMillis, 50_000);
			assertThat(viewOf(REMOTE_PEER, 50_000 + delayMillis).liveness()).isEqualTo(expected);
		}

		@Test
		void isSuspectAfterClosedConnectionUntilNextHeartbeat() {
			observeHeartbeat(PEER, 1, readyStatus(), 0);
			MembershipTests.this.membership.observeDisconnect(PEER.peerAddress(), nanos(1));
			assertThat(viewOf(PEER, 2).liveness()).isEqualTo(Liveness.SUSPECT);
			observeHeartbeat(PEER, 2, readyStatus(), 3);
			assertThat(viewOf(PEER, 4).liveness()).isEqualTo(Liveness.ALIVE);
		}

		@Test
		void isAliveAgainWhenSuspendedProcessResumes() {
			observeHeartbeat(PEER, 1, readyStatus(), 0);
			assertThat(viewOf(PEER, 60_000).liveness()).isEqualTo(Liveness.LOST);
			assertThat(observeHeartbeat(PEER, 2, readyStatus(), 60_000)).isTrue();
			assertThat(viewOf(PEER, 60_000)).extracting(PeerView::host, PeerView::liveness)
				.containsExactly(PEER, Liveness.ALIVE);
		}

	}

	@Nested
	class OrderOfUpdates {

		@ParameterizedTest
		@CsvSource({ "4, false", "5, false", "6, true" })
		void ignoresOldHeartbeats(long sequence, boolean expected) {
			observeHeartbeat(PEER, 5, readyStatus(), 0);
			assertThat(observeHeartbeat(PEER, sequence, statusOf(false, true), 10)).isEqualTo(expected);
			assertThat(viewOf(PEER, 10).status().leaving()).isEqualTo(expected);
		}

		@ParameterizedTest
		@CsvSource({ "99, 1000, false", "101, 1000, true", "99, 5000, false", "99, 5001, true" })
		void acceptsOlderIncarnationOnlyAfterLossOfExistingOne(long startEpochMillis, long atMillis, boolean expected) {
			observeHeartbeat(PEER, 5, readyStatus(), 0);
			EntryHost otherIncarnation = host(NORTH, 2, startEpochMillis);
			assertThat(observeHeartbeat(otherIncarnation, 1, readyStatus(), atMillis)).isEqualTo(expected);
			assertThat(viewOf(PEER, atMillis).host()).isEqualTo(expected ? otherIncarnation : PEER);
		}

		@ParameterizedTest
		@CsvSource({ "6, 1000, false", "6, 2000, true", "5, 2000, false" })
		void appliesSummariesOnlyWithoutRecentHeartbeat(long sequence, long atMillis, boolean expected) {
			observeHeartbeat(PEER, 5, readyStatus(), 0);
			assertThat(observeSummary(PEER, sequence, readyStatus(), 100, atMillis)).isEqualTo(expected);
		}

		@ParameterizedTest
		@CsvSource({ "true, 2, true", "false, 2, false", "true, 1, false" })
		void appliesSummariesWithoutStatusIfDigestMatches(boolean sameStatus, long sequence, boolean expected) {
			observeSummary(REMOTE_PEER, 1, readyStatus(), 0, 0);
			HostSummary withoutStatus = HostSummary.of(REMOTE_PEER, sequence, statusOf(sameStatus, false), 0)
				.withoutStatus();
			assertThat(MembershipTests.this.membership.observeSummaries(List.of(withoutStatus), nanos(9_000)))
				.hasSize(expected ? 1 : 0);
			assertThat(viewOf(REMOTE_PEER, 9_000).ageMillis()).isEqualTo(expected ? 0 : 9_000);
		}

		@Test
		void ignoresUpdatesAboutOwnHost() {
			assertThat(observeHeartbeat(SELF, 1, readyStatus(), 0)).isFalse();
			assertThat(observeSummary(host(NORTH, 1, 99), 1, readyStatus(), 0, 0)).isFalse();
			assertThat(MembershipTests.this.membership.observeHello(SELF, 0)).isFalse();
			assertThat(MembershipTests.this.membership.peers(0)).isEmpty();
		}

		@Test
		void appliesChangedLoadEntries() {
			LoadReport completeLoad = new LoadReport(Map.of(),
					Map.of(SECOND_PEER.peerAddress(), 3, REMOTE_PEER.peerAddress(), 4), Map.of());
			LoadReport changedEntries = new LoadReport(Map.of(),
					Map.of(SECOND_PEER.peerAddress(), 0, SELF.peerAddress(), 1), Map.of());
			observeHeartbeat(PEER, 1, readyStatus().withLoad(completeLoad), 0);
			MembershipTests.this.membership.observeHeartbeat(PEER, 2, false, readyStatus().withLoad(changedEntries), 1);
			assertThat(viewOf(PEER, 1).status().load().outstanding())
				.containsExactlyInAnyOrderEntriesOf(Map.of(REMOTE_PEER.peerAddress(), 4, SELF.peerAddress(), 1));
		}

		@Test
		void reportsFirstHelloOfEachIncarnation() {
			assertThat(MembershipTests.this.membership.observeHello(PEER, 0)).isTrue();
			assertThat(MembershipTests.this.membership.observeHello(PEER, 0)).isFalse();
			assertThat(MembershipTests.this.membership.observeHello(host(NORTH, 2, 101), 0)).isTrue();
		}

	}

	@Nested
	class TicketHolders {

		private final Incarnation endedIncarnation = new Incarnation(50, 50);

		@Test
		void areIssuersThemselvesWithoutSuccessor() {
			observeHeartbeat(PEER, 1, readyStatus(), 0);
			assertThat(holder(PEER.incarnation(), 0)).isEqualTo(PEER);
			assertThat(holder(this.endedIncarnation, 0)).isNull();
		}

		@Test
		void areSuccessorsEvenIfIssuerIsAlive() {
			observeHeartbeat(PEER, 1, statusOf(false, true), 0);
			observeHeartbeat(SECOND_PEER, 1, readyStatus(PEER.incarnation()), 0);
			assertThat(holder(PEER.incarnation(), 0)).isEqualTo(SECOND_PEER);
		}

		@ParameterizedTest
		@CsvSource({ "false, 0, 2", "true, 0, 3", "false, 9000, 3" })
		void arePreferablyAliveSuccessorsThatAreNotLeaving(boolean firstIsLeaving, long secondAtMillis,
				int expectedPort) {
			observeHeartbeat(PEER, 1, statusOf(true, firstIsLeaving, this.endedIncarnation), 0);
			observeHeartbeat(SECOND_PEER, 1, statusOf(true, !firstIsLeaving, this.endedIncarnation), secondAtMillis);
			assertThat(holder(this.endedIncarnation, secondAtMillis).peerAddress().port()).isEqualTo(expectedPort);
		}

		@ParameterizedTest
		@CsvSource({ "100, 0, false", "99, 0, true", "101, 0, false", "99, 5001, false" })
		void haveEndedIfLaterIncarnationIsAliveAtSameAddress(long startEpochMillis, long atMillis, boolean expected) {
			observeHeartbeat(PEER, 1, readyStatus(), 0);
			assertThat(MembershipTests.this.membership.isReplaced(PEER.peerAddress(),
					new Incarnation(startEpochMillis, 2), nanos(atMillis)))
				.isEqualTo(expected);
		}

		@ParameterizedTest
		@CsvSource({ "true, false, 0, false, true", "false, false, 0, false, false", "true, true, 0, false, false",
				"true, false, 1501, false, false", "true, false, 0, true, false" })
		void haveServingPeersAsSuccessorCandidates(boolean ready, boolean leaving, long ageMillis,
				boolean listedAsLeaving, boolean expected) {
			observeHeartbeat(REMOTE_PEER, 1, readyStatus(), 0);
			observeHeartbeat(PEER, 1, statusOf(ready, leaving), 0);
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
	class VersionStatuses {

		@ParameterizedTest
		@CsvSource({ "true, false, 0, READY", "false, false, 0, STARTING", "true, true, 0, LEAVING",
				"true, false, 3000, READY", "true, false, 5001, UNKNOWN" })
		void reportsStateOfEachHost(boolean ready, boolean leaving, long ageMillis, HostVersionStatus.State expected) {
			observeHeartbeat(PEER, 1, statusOf(ready, leaving), 0);
			assertThat(versionStatusByDomain(ageMillis).get(NORTH))
				.contains(new HostVersionStatus(PEER.peerAddress(), PEER.incarnation(), 3, 30, ageMillis, expected));
		}

		@Test
		void includesOwnHostAndUncontactedListedHosts() {
			MembershipTests.this.membership
				.observeListedHosts(List.of(new ListedHost(REMOTE_PEER.peerAddress(), SOUTH, false),
						new ListedHost(SELF.peerAddress(), NORTH, false)));
			assertThat(versionStatusByDomain(0)).isEqualTo(Map.of(NORTH,
					List.of(new HostVersionStatus(SELF.peerAddress(), SELF.incarnation(), 3, 30, 0,
							HostVersionStatus.State.READY)),
					SOUTH, List.of(new HostVersionStatus(REMOTE_PEER.peerAddress(), null, 0, 0, -1,
							HostVersionStatus.State.UNKNOWN))));
		}

		@ParameterizedTest
		@CsvSource({ "true, false, 5001, 0", "false, false, 5001, 1", "false, false, 60001, 0",
				"false, true, 60001, 1" })
		void omitsDepartedHosts(boolean leaving, boolean listed, long ageMillis, int expectedCount) {
			observeHeartbeat(REMOTE_PEER, 1, statusOf(true, leaving), 0);
			MembershipTests.this.membership.observeListedHosts(List
				.of(new ListedHost(listed ? REMOTE_PEER.peerAddress() : SECOND_PEER.peerAddress(), SOUTH, false)));
			assertThat(versionStatusByDomain(ageMillis).getOrDefault(SOUTH, List.of()))
				.filteredOn((host) -> host.incarnation() != null)
				.hasSize(expectedCount);
		}

		private Map<String, List<HostVersionStatus>> versionStatusByDomain(long atMillis) {
			return MembershipTests.this.membership.versionStatusByDomain(readyStatus(), nanos(atMillis));
		}

	}

	@Nested
	class Eviction {

		@Test
		void evictsPeersLostForLongerThanLimit() {
			observeHeartbeat(PEER, 1, readyStatus(), 0);
			MembershipTests.this.membership.evictLost(nanos(600_000));
			assertThat(MembershipTests.this.membership.peers(nanos(600_000))).hasSize(1);
			MembershipTests.this.membership.evictLost(nanos(600_001));
			assertThat(MembershipTests.this.membership.peers(nanos(600_001))).isEmpty();
		}

		@Test
		void boundsPeerCountAndKeepsMostRecentlySeen() {
			for (int port = 10; port < 50; port++) {
				observeHeartbeat(host(NORTH, port, 1), 1, readyStatus(), port);
			}
			assertThat(MembershipTests.this.membership.peers(nanos(50))).hasSize(20)
				.allMatch((view) -> view.host().peerAddress().port() >= 30);
		}

	}

	@Nested
	class Successors {

		private boolean mayHaveSuccessor(long atMillis) {
			return MembershipTests.this.membership.mayHaveSuccessor(PEER.incarnation(), nanos(atMillis));
		}

		@Test
		void areNotExpectedOfAHostThatDidNotAnnounceAShutdown() {
			observeHeartbeat(PEER, 1, readyStatus(), 0);
			assertThat(mayHaveSuccessor(10_000)).isFalse();
		}

		@Test
		void areExpectedOfAHostThatAnnouncedAShutdown() {
			observeHeartbeat(PEER, 1, statusOf(false, true), 0);
			assertThat(mayHaveSuccessor(10_000)).isTrue();
		}

		/**
		 * Guards against giving up on the tickets of a host as soon as a new process has
		 * started at its address.
		 */
		@Test
		void areExpectedAfterAnotherIncarnationHasReplacedTheHost() {
			observeHeartbeat(PEER, 1, statusOf(false, true), 0);
			observeHeartbeat(host(NORTH, 2, 200), 1, readyStatus(), 1_000);
			assertThat(mayHaveSuccessor(2_000)).isTrue();
		}

		@Test
		void areExpectedOfASuccessorThatAnnouncedAShutdown() {
			observeHeartbeat(SECOND_PEER, 1, statusOf(false, true, PEER.incarnation()), 0);
			assertThat(mayHaveSuccessor(10_000)).isTrue();
		}

		@Test
		void areNotExpectedOfASuccessorThatWasKilled() {
			observeHeartbeat(PEER, 1, statusOf(false, true), 0);
			observeHeartbeat(SECOND_PEER, 1, readyStatus(PEER.incarnation()), 500);
			assertThat(mayHaveSuccessor(10_000)).isFalse();
		}

		@Test
		void areForgottenWithTheHost() {
			observeHeartbeat(PEER, 1, statusOf(false, true), 0);
			MembershipTests.this.membership.evictLost(nanos(600_001));
			assertThat(mayHaveSuccessor(600_001)).isFalse();
		}

	}

}
