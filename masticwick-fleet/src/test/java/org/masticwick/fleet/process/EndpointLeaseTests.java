package org.masticwick.fleet.process;

import java.util.Set;

import org.junit.jupiter.api.Test;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.PoolSettings;
import org.masticwick.core.pool.Resources;
import org.masticwick.core.process.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EndpointLease} and the sum of bounds that keeps a job that is
 * submitted again apart from its first runs.
 */
class EndpointLeaseTests {

	/** After how long callers submit a job again; from the users' site files. */
	private static final long RESUBMIT_MILLIS = 1_300;

	private final EndpointLease lease = new EndpointLease(LeaseSettings.defaults(),
			new EndpointEntry("e", "s", new HostAddress("10.0.0.1", 80), "d", true, Resources.NONE, Set.of(), 1));

	@Test
	void nothingOutlivesItsEntryHostUntilTheJobComesAgain() {
		long sumMillis = PeerTable.SILENCE_LIMIT_MILLIS + LeaseSettings.defaults().longestMillis()
				+ PoolSettings.defaults().stopLatencyMillis();
		assertThat(sumMillis).isLessThanOrEqualTo(RESUBMIT_MILLIS + PoolSettings.defaults().stopLatencyMillis());
	}

	@Test
	void isNotRenewedBeforeTheClockIsKnown() {
		assertThat(this.lease.renew(10)).isEmpty();
	}

	@Test
	void followsTheClockOfTheEndpoint() {
		this.lease.heard(5_000, 100);
		assertThat(this.lease.renew(130)).hasValue(5_030 + LeaseSettings.defaults().leaseMillis());
	}

	@Test
	void lapsesOnceAfterTheLongestTime() {
		this.lease.heard(5_000, 100);
		this.lease.renew(130);
		long longestMillis = LeaseSettings.defaults().longestMillis();
		assertThat(this.lease.takeLapse(130 + longestMillis)).isFalse();
		assertThat(this.lease.takeLapse(131 + longestMillis)).isTrue();
		assertThat(this.lease.takeLapse(132 + longestMillis)).isFalse();
	}

}
