package org.masticwick.fleet.process;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.wire.PeerMessage.HostReport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PeerOwners} with an owner of another pool that falls silent, or does
 * not hear this host, on simulated time.
 */
class PeerOwnersTests {

	private static final String POOL = "d2";

	private static final HostAddress OWNER = new HostAddress("10.0.0.2", 7_000);

	private static final HostAddress SELF = new HostAddress("10.0.0.1", 7_000);

	private static final int INTERVAL_MILLIS = HostReport.SHORT_INTERVAL_MILLIS;

	private static final long SETTLED_MILLIS = SettledPools.SETTLING_MILLIS + 2 * INTERVAL_MILLIS;

	private final VirtualTime time = new VirtualTime();

	private PeerTable peers;

	private OwnerReachability reachability;

	private PeerOwners owners;

	@BeforeEach
	void hearTheOwner() {
		Clock.useSource(this.time);
		this.peers = new PeerTable(Clock.nowMillis());
		MemberRecord self = new MemberRecord("a", "d1", SELF, new Incarnation(1, 1), 1_000);
		MemberRecord owner = new MemberRecord("b", POOL, OWNER, new Incarnation(1, 1), 1_000);
		this.peers.addMember(owner);
		PoolDirectory directory = new PoolDirectory(self, this.peers, (pool) -> false);
		directory.applyClaim(new PoolClaim(POOL, owner, 1, List.of()));
		this.reachability = new OwnerReachability(directory);
		this.owners = new PeerOwners(SELF, List.of(POOL), directory, this.peers, this.reachability, () -> null);
		report(SETTLED_MILLIS, true);
		assertThat(this.owners.reachableOwner(POOL)).contains(OWNER);
		assertThat(contactMillis()).isGreaterThanOrEqualTo(SettledPools.SETTLING_MILLIS);
		assertThat(this.owners.mayRunAtLostOwner(Clock.nowMillis())).isFalse();
	}

	@AfterEach
	void useSystemClock() {
		Clock.useSystemSource();
	}

	private long contactMillis() {
		return Clock.nowMillis() - this.owners.contactSinceMillis();
	}

	private void report(long millis, boolean hearsThisHost) {
		for (long sent = 0; sent < millis; sent += INTERVAL_MILLIS) {
			this.time.run(INTERVAL_MILLIS);
			this.peers.recordReport(OWNER, new HostReport(1, false, List.of(), List.of(), false, true, INTERVAL_MILLIS,
					hearsThisHost, HostReport.DRAINS_UNKNOWN, List.of(), List.of()), Clock.nowMillis());
			this.reachability.tick(Set.of(POOL), Clock.nowMillis());
		}
	}

	/** Copies used to start that were registered between the loss and the next check. */
	@Test
	void mayRunAJobAsSoonAsTheyAreUnreachable() {
		this.time.run(PeerTable.PEER_TIMEOUT_MILLIS + 1);
		assertThat(this.owners.reachableOwner(POOL)).isEmpty();
		assertThat(this.owners.mayRunAtLostOwner(Clock.nowMillis() - 300)).isTrue();
	}

	@Test
	void leaveThisHostWithoutTheKnowledgeOfAllJobsWhileTheyDoNotHearIt() {
		report(INTERVAL_MILLIS, false);
		assertThat(contactMillis()).isLessThan(SettledPools.SETTLING_MILLIS);
		assertThat(this.owners.reachableOwner(POOL)).contains(OWNER);
		report(SETTLED_MILLIS, true);
		assertThat(contactMillis()).isGreaterThanOrEqualTo(SettledPools.SETTLING_MILLIS);
	}

	/** Each side serves what it can. */
	@Test
	void areNotAskedAnyLongerIfTheyDoNotHearThisHostForLong() {
		report(1_500, false);
		assertThat(this.owners.reachableOwner(POOL)).isEmpty();
		report(INTERVAL_MILLIS, true);
		assertThat(this.owners.reachableOwner(POOL)).contains(OWNER);
	}

}
