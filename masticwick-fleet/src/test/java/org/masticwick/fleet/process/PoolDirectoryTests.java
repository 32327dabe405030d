package org.masticwick.fleet.process;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.masticwick.core.pool.PoolLoad;
import org.masticwick.core.pool.PoolReport;
import org.masticwick.core.pool.PoolSelector;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.wire.PeerMessage.HostReport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PoolDirectory}. One peer owns the pools d1 and d2, another one d3.
 */
class PoolDirectoryTests {

	/** After the time in which owners that have not reported yet are tried. */
	private static final long NOW_MILLIS = 60_000;

	private static final MemberRecord SELF = member(9, "d3");

	private static final MemberRecord FIRST_OWNER = member(1, "d1");

	private static final MemberRecord SECOND_OWNER = member(2, "d3");

	private final Set<String> drained = new HashSet<>();

	private final PeerTable peers = new PeerTable(0);

	private final PoolDirectory directory = new PoolDirectory(SELF, this.peers, this.drained::contains);

	private static MemberRecord member(int number, String domain) {
		return new MemberRecord("host-" + number, domain, new HostAddress("10.0.0." + number, 1), new Incarnation(1, 1),
				750);
	}

	@BeforeEach
	void claimPools() {
		this.peers.addMember(FIRST_OWNER);
		this.peers.addMember(SECOND_OWNER);
		List.of("d1", "d2")
			.forEach((pool) -> this.directory.applyClaim(new PoolClaim(pool, FIRST_OWNER, 16, List.of())));
		this.directory.applyClaim(new PoolClaim("d3", SECOND_OWNER, 32, List.of()));
	}

	private void report(MemberRecord owner, long token, long totalMillicores, String... pools) {
		List<PoolReport> reports = Arrays.stream(pools)
			.map((pool) -> new PoolReport(pool, token, new PoolLoad(totalMillicores, totalMillicores, 0, 0)))
			.toList();
		this.peers.recordReport(owner.peerAddress(), new HostReport(1, false, reports, List.of(), false, true, 125,
				true, HostReport.DRAINS_UNKNOWN, List.of(), List.of()), NOW_MILLIS);
	}

	private Map<String, Boolean> usableByPool(long nowMillis) {
		return this.directory.candidates(nowMillis)
			.stream()
			.collect(Collectors.toMap(PoolSelector.Candidate::pool, PoolSelector.Candidate::usable));
	}

	@Nested
	class Candidates {

		@BeforeEach
		void reportCapacities() {
			report(FIRST_OWNER, 16, 8_000, "d1", "d2");
			report(SECOND_OWNER, 32, 8_000, "d3");
		}

		@Test
		void areUsableIfTheirOwnerReportsCapacity() {
			assertThat(usableByPool(NOW_MILLIS)).isEqualTo(Map.of("d1", true, "d3", true));
		}

		@Test
		void areUnusableIfTheirOwnerReportsNone() {
			report(SECOND_OWNER, 32, 0, "d3");
			assertThat(usableByPool(NOW_MILLIS)).isEqualTo(Map.of("d1", true, "d3", false));
		}

		/**
		 * A report may be older than what this host has read from the log.
		 */
		@Test
		void areUnusableIfThisHostKnowsThatAllPoolsOfTheOwnerAreDrained() {
			PoolDirectoryTests.this.drained.add("d3");
			assertThat(usableByPool(NOW_MILLIS)).isEqualTo(Map.of("d1", true, "d3", false));
			PoolDirectoryTests.this.drained.addAll(Set.of("d1", "d2"));
			assertThat(usableByPool(NOW_MILLIS)).isEqualTo(Map.of("d1", false, "d3", false));
		}

		/**
		 * The owner runs the job on the endpoints of its other pool.
		 */
		@Test
		void stayUsableIfOnlySomePoolsOfTheOwnerAreDrained() {
			PoolDirectoryTests.this.drained.add("d1");
			assertThat(usableByPool(NOW_MILLIS)).isEqualTo(Map.of("d1", true, "d3", true));
		}

	}

	@Nested
	class CandidatesWithoutAReport {

		@Test
		void areUsableWhileANewHostHasNotHeardTheirOwners() {
			assertThat(usableByPool(0)).isEqualTo(Map.of("d1", true, "d3", true));
		}

		@Test
		void areUnusableIfAllPoolsOfTheOwnerAreDrained() {
			PoolDirectoryTests.this.drained.add("d3");
			assertThat(usableByPool(0)).isEqualTo(Map.of("d1", true, "d3", false));
		}

	}

}
