package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.fleet.version.DrainedDomains;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerMessage.HostReport;
import org.masticwick.wire.PeerTransport;
import org.masticwick.wire.TrafficCounters;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PeerReporter}. The site has three failure domains; host 1 of the first
 * domain reports, and host 2 of each domain owns its pool.
 */
class PeerReporterTests {

	private static final int DOMAIN_COUNT = 3;

	private static final HostAddress LOCAL_OWNER = address(1, 2);

	private static final HostAddress LOCAL_HOST = address(1, 3);

	private static final HostAddress REMOTE_OWNER = address(2, 2);

	private static final HostAddress REMOTE_HOST = address(2, 3);

	private final RecordingTransport transport = new RecordingTransport();

	private List<String> poolsWithReachableOwner = List.of();

	private DrainedDomains drains = new DrainedDomains(3, Set.of());

	private PeerReporter reporter;

	@BeforeEach
	void createReporter() {
		this.reporter = reporter(4);
	}

	private PeerReporter reporter(int hostsPerDomain) {
		PeerTable peers = new PeerTable(0);
		MemberRecord self = member(1, 1);
		IntStream.rangeClosed(1, DOMAIN_COUNT)
			.forEach((domain) -> IntStream.rangeClosed(1, hostsPerDomain)
				.mapToObj((number) -> member(domain, number))
				.filter((member) -> !member.equals(self))
				.forEach(peers::addMember));
		PoolDirectory directory = new PoolDirectory(self, peers, (pool) -> false);
		IntStream.rangeClosed(1, DOMAIN_COUNT)
			.forEach((domain) -> directory.applyClaim(new PoolClaim("d" + domain, member(domain, 2), 16, List.of())));
		PeerReporter created = new PeerReporter(self, peers, directory, () -> false, () -> new PeerReporter.HostState(1,
				false, List.of(), this.poolsWithReachableOwner, false, true, this.drains, List.of()));
		created.transport(this.transport);
		return created;
	}

	private static HostAddress address(int domain, int number) {
		return new HostAddress("10." + domain + ".0." + number, 1);
	}

	private static MemberRecord member(int domain, int number) {
		return new MemberRecord("host-" + domain + "-" + number, "d" + domain, address(domain, number),
				new Incarnation(1, 1), 750);
	}

	private void reportForOneSecond(PeerReporter reporting) {
		LongStream.range(0, 1_000 / HostReport.SHORT_INTERVAL_MILLIS)
			.forEach((index) -> reporting.report(1_000 + index * HostReport.SHORT_INTERVAL_MILLIS));
	}

	@Nested
	class WithoutSharedWork {

		@Test
		void reportsAtTheLongInterval() {
			reportForOneSecond(PeerReporterTests.this.reporter);
			assertThat(PeerReporterTests.this.transport.countTo(LOCAL_OWNER)).isEqualTo(3);
			assertThat(PeerReporterTests.this.transport.countTo(LOCAL_HOST)).isEqualTo(3);
			assertThat(PeerReporterTests.this.transport.countTo(REMOTE_OWNER)).isEqualTo(3);
			assertThat(PeerReporterTests.this.transport.countTo(REMOTE_HOST)).isZero();
		}

		@ParameterizedTest
		@ValueSource(ints = { 10, 33, 100 })
		void costsThreeReportsASecondForEachHostOfTheDomain(int hostsPerDomain) {
			reportForOneSecond(reporter(hostsPerDomain));
			assertThat(PeerReporterTests.this.transport.sent).hasSize(3 * (hostsPerDomain - 1 + DOMAIN_COUNT - 1));
		}

		@Test
		void reportsAChangeAtOnce() {
			PeerReporterTests.this.reporter.report(1_000);
			PeerReporterTests.this.poolsWithReachableOwner = List.of("d1");
			PeerReporterTests.this.reporter.report(1_001);
			assertThat(PeerReporterTests.this.transport.countTo(LOCAL_HOST)).isEqualTo(2);
		}

		/**
		 * Peers that the log refuses depend on the report, so that it can't wait for the
		 * long interval.
		 */
		@Test
		void reportsAChangeOfTheDrainedDomainsAtOnce() {
			PeerReporterTests.this.reporter.report(1_000);
			PeerReporterTests.this.drains = new DrainedDomains(4, Set.of("d2", "d1"));
			PeerReporterTests.this.reporter.report(1_001);
			assertThat(PeerReporterTests.this.transport.countTo(LOCAL_HOST)).isEqualTo(2);
			assertThat(PeerReporterTests.this.transport.lastTo(LOCAL_HOST).drainsOffset()).isEqualTo(4);
			assertThat(PeerReporterTests.this.transport.lastTo(LOCAL_HOST).drainedDomains()).containsExactly("d1",
					"d2");
		}

		@Test
		void reportsAHigherOffsetWithTheNextReport() {
			PeerReporterTests.this.reporter.report(1_000);
			PeerReporterTests.this.drains = new DrainedDomains(4, Set.of());
			PeerReporterTests.this.reporter.report(1_001);
			assertThat(PeerReporterTests.this.transport.countTo(LOCAL_HOST)).isEqualTo(1);
		}

		@Test
		void reportsThatItKnowsNoDrainedDomains() {
			PeerReporterTests.this.drains = null;
			PeerReporterTests.this.reporter.report(1_000);
			assertThat(PeerReporterTests.this.transport.lastTo(LOCAL_HOST).drainsOffset())
				.isEqualTo(HostReport.DRAINS_UNKNOWN);
		}

	}

	@Nested
	class WithSharedWork {

		@Test
		void announcesFrequentReportsBeforeTheFirstJob() {
			PeerReporterTests.this.reporter.report(1_000);
			PeerReporterTests.this.reporter.recordSharedWork(REMOTE_OWNER, 1_010);
			assertThat(PeerReporterTests.this.transport.lastTo(REMOTE_OWNER).intervalMillis())
				.isEqualTo(HostReport.SHORT_INTERVAL_MILLIS);
		}

		@Test
		void reportsAtTheShortInterval() {
			PeerReporterTests.this.reporter.recordSharedWork(REMOTE_OWNER, 1_000);
			reportForOneSecond(PeerReporterTests.this.reporter);
			assertThat(PeerReporterTests.this.transport.countTo(REMOTE_OWNER)).isEqualTo(1 + 8);
		}

		@Test
		void announcesTheLongIntervalAfterwards() {
			PeerReporterTests.this.reporter.recordSharedWork(REMOTE_OWNER, 1_000);
			PeerReporterTests.this.reporter.report(2_001);
			assertThat(PeerReporterTests.this.transport.lastTo(REMOTE_OWNER).intervalMillis())
				.isGreaterThan(HostReport.SHORT_INTERVAL_MILLIS);
		}

	}

	@Nested
	class MissedReports {

		@Test
		void reconnectOnceInAWhile() {
			LongStream.of(10_000, 10_125, 11_900, 12_000)
				.forEach((nowMillis) -> PeerReporterTests.this.reporter.handleMissedReports(REMOTE_OWNER, nowMillis));
			assertThat(PeerReporterTests.this.transport.reconnected).containsExactly(REMOTE_OWNER, REMOTE_OWNER);
		}

	}

	private static final class RecordingTransport implements PeerTransport {

		private final List<Sent> sent = new ArrayList<>();

		private final List<HostAddress> reconnected = new ArrayList<>();

		private long countTo(HostAddress peer) {
			return this.sent.stream().filter((each) -> each.peer().equals(peer)).count();
		}

		private HostReport lastTo(HostAddress peer) {
			return this.sent.stream()
				.filter((each) -> each.peer().equals(peer))
				.reduce((first, second) -> second)
				.orElseThrow()
				.report();
		}

		@Override
		public HostAddress localAddress() {
			return address(1, 1);
		}

		@Override
		public CompletableFuture<PeerMessage> call(HostAddress peer, PeerMessage request) {
			throw new UnsupportedOperationException("reports are not calls");
		}

		@Override
		public void send(HostAddress peer, PeerMessage message) {
			this.sent.add(new Sent(peer, (HostReport) message));
		}

		@Override
		public void reconnect(HostAddress peer) {
			this.reconnected.add(peer);
		}

		@Override
		public TrafficCounters traffic() {
			throw new UnsupportedOperationException("not counted here");
		}

		@Override
		public void close() {
			this.sent.clear();
		}

	}

	private record Sent(HostAddress peer, HostReport report) {
	}

}
