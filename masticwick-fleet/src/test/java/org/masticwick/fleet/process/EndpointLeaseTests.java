package org.masticwick.fleet.process;

import java.util.Set;

import org.junit.jupiter.api.Test;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.PoolSettings;
import org.masticwick.core.pool.Resources;
import org.masticwick.core.process.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EndpointLease}, and for the sum of timeouts within which the runs of a
 * job on a lost host are stopped: it must end before callers resubmit the job, or the job
 * would run twice at a time.
 */
class EndpointLeaseTests {

	/** After how long callers resubmit a job, by the users' site files. */
	private static final long RESUBMIT_MILLIS = 1_300;

	private final EndpointLease lease = new EndpointLease(LeaseSettings.defaults(),
			new EndpointEntry("e", "s", new HostAddress("10.0.0.1", 80), "d", true, Resources.NONE, Set.of(), 1));

	@Test
	void runsOfALostHostAreStoppedBeforeTheJobIsResubmitted() {
		long sumMillis = PeerTable.PEER_TIMEOUT_MILLIS + LeaseSettings.defaults().maxLeaseMillis()
				+ PoolSettings.defaults().stopLatencyMillis();
		assertThat(sumMillis).isLessThanOrEqualTo(RESUBMIT_MILLIS + PoolSettings.defaults().stopLatencyMillis());
	}

	@Test
	void isNotRenewedWithoutAClockReading() {
		assertThat(this.lease.renew(10)).isEmpty();
	}

	@Test
	void endsByTheClockOfTheEndpoint() {
		this.lease.recordContact(1, 5_000, 100);
		assertThat(this.lease.renew(130)).hasValue(5_030 + LeaseSettings.defaults().leaseMillis());
	}

	@Test
	void expiryIsReportedOnceAfterTheLongestLease() {
		this.lease.recordContact(1, 5_000, 100);
		this.lease.renew(130);
		long maxLeaseMillis = LeaseSettings.defaults().maxLeaseMillis();
		assertThat(this.lease.pollExpiry(130 + maxLeaseMillis)).isFalse();
		assertThat(this.lease.pollExpiry(131 + maxLeaseMillis)).isTrue();
		assertThat(this.lease.pollExpiry(132 + maxLeaseMillis)).isFalse();
	}

	/**
	 * The lease used to count as expired after 763 ms, although the endpoint may have
	 * shortened an end by the clock of its previous incarnation to 1,000 ms.
	 */
	@Test
	void aRenewalByTheClockOfThePreviousIncarnationLastsAsLongAsTheEndpointGrants() {
		this.lease.recordContact(1, 500_000, 100);
		this.lease.renew(130);
		this.lease.recordContact(2, 80, 150);
		long expiredMillis = 130 + 1_020 + LeaseSettings.defaults().timeoutMarginMillis();
		assertThat(this.lease.pollExpiry(expiredMillis)).isFalse();
		assertThat(this.lease.pollExpiry(expiredMillis + 1)).isTrue();
	}

	@Test
	void aRenewalByTheNewClockLastsAsLongAsItSays() {
		this.lease.recordContact(1, 500_000, 100);
		this.lease.renew(130);
		this.lease.recordContact(2, 80, 150);
		assertThat(this.lease.renew(900)).hasValue(80 + 750 + LeaseSettings.defaults().leaseMillis());
		long expiredMillis = 900 + LeaseSettings.defaults().maxLeaseMillis();
		assertThat(this.lease.pollExpiry(expiredMillis)).isFalse();
		assertThat(this.lease.pollExpiry(expiredMillis + 1)).isTrue();
	}

	/**
	 * A delayed report used to set the clock back to that of the previous incarnation.
	 */
	@Test
	void aReportOfThePreviousIncarnationHasNoEffect() {
		this.lease.recordContact(2, 80, 100);
		this.lease.recordContact(1, 500_000, 110);
		assertThat(this.lease.renew(130)).hasValue(80 + 30 + LeaseSettings.defaults().leaseMillis());
	}

	/**
	 * A start that was executed late gives a lease of its own, whose end used to be
	 * missed, so that the run never counted as ended.
	 */
	@Test
	void expiryIsReportedAgainAfterALaterContact() {
		this.lease.recordContact(1, 5_000, 100);
		this.lease.renew(130);
		assertThat(this.lease.pollExpiry(2_000)).isTrue();
		this.lease.recordContact(1, 8_000, 3_100);
		long expiredMillis = 3_100 + LeaseSettings.defaults().maxShortenedLeaseMillis();
		assertThat(this.lease.pollExpiry(expiredMillis)).isFalse();
		assertThat(this.lease.pollExpiry(expiredMillis + 1)).isTrue();
	}

}
