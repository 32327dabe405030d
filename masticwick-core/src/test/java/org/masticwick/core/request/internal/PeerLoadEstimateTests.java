package org.masticwick.core.request.internal;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link PeerLoadEstimate}.
 */
class PeerLoadEstimateTests {

	private static final double DECAY_NANOS = 1_000;

	private final PeerLoadEstimate estimate = new PeerLoadEstimate();

	@ParameterizedTest
	@CsvSource({ "0, 8", "1000, 5.47", "100000, 4" })
	void decaysFromLastCountToMean(long ageNanos, double expected) {
		report(1, 3, 0);
		report(1, 8, 0);
		assertThat(this.estimate.estimateTotal(ageNanos, DECAY_NANOS)).isCloseTo(expected, within(0.01));
	}

	@Test
	void sumsPeersAndRemovesThem() {
		report(1, 3, 0);
		report(2, 2, 0);
		assertThat(this.estimate.estimateTotal(0, DECAY_NANOS)).isEqualTo(5);
		this.estimate.removePeer(host(1), DECAY_NANOS);
		assertThat(this.estimate.estimateTotal(0, DECAY_NANOS)).isEqualTo(2);
	}

	@Test
	void usesObservationOfEndpointUntilItDecays() {
		report(1, 2, 0);
		this.estimate.recordObservation(8, 0, DECAY_NANOS);
		assertThat(this.estimate.estimateTotal(0, DECAY_NANOS)).isEqualTo(8);
		assertThat(this.estimate.estimateTotal(100_000, DECAY_NANOS)).isCloseTo(2, within(0.01));
		report(1, 3, 0);
		assertThat(this.estimate.estimateTotal(0, DECAY_NANOS)).isEqualTo(3);
	}

	private void report(int peer, int count, long nowNanos) {
		this.estimate.recordReport(host(peer), count, nowNanos, DECAY_NANOS);
	}

	private EntryHost host(int number) {
		return new EntryHost("hobart", new HostAddress("10.0.0." + number, 70), new Incarnation(number, number));
	}

}
