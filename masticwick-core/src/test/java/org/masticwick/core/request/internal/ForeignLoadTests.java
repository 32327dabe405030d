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
class ForeignLoadTests {

	private static final double FADE_NANOS = 1_000;

	private final PeerLoadEstimate load = new PeerLoadEstimate();

	@ParameterizedTest
	@CsvSource({ "0, 8", "1000, 5.47", "100000, 4" })
	void fadesFromLastCountToMean(long ageNanos, double expected) {
		report(1, 3, 0);
		report(1, 8, 0);
		assertThat(this.load.estimateTotal(ageNanos, FADE_NANOS)).isCloseTo(expected, within(0.01));
	}

	@Test
	void addsUpPeersAndForgetsThem() {
		report(1, 3, 0);
		report(2, 2, 0);
		assertThat(this.load.estimateTotal(0, FADE_NANOS)).isEqualTo(5);
		this.load.removePeer(host(1), FADE_NANOS);
		assertThat(this.load.estimateTotal(0, FADE_NANOS)).isEqualTo(2);
	}

	@Test
	void believesTheEndpointForAWhile() {
		report(1, 2, 0);
		this.load.recordObservation(8, 0, FADE_NANOS);
		assertThat(this.load.estimateTotal(0, FADE_NANOS)).isEqualTo(8);
		assertThat(this.load.estimateTotal(100_000, FADE_NANOS)).isCloseTo(2, within(0.01));
		report(1, 3, 0);
		assertThat(this.load.estimateTotal(0, FADE_NANOS)).isEqualTo(3);
	}

	private void report(int peer, int count, long nowNanos) {
		this.load.recordReport(host(peer), count, nowNanos, FADE_NANOS);
	}

	private EntryHost host(int number) {
		return new EntryHost("hobart", new HostAddress("10.0.0." + number, 70), new Incarnation(number, number));
	}

}
