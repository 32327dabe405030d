package org.masticwick.core.request.internal;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.request.StartOutcome;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EjectionRule} and {@link EndpointHealth}.
 */
class EjectionRuleTests {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	@ParameterizedTest
	@CsvSource({ "FAILING, FAILED, 1, 2, 20, false", "FAILING, FAILED, 1, 3, 20, true", "FAILING, LOST, 1, 3, 20, true",
			"FAILING, FAILED, 1, 10, 0, false", "FAILING, CANCELLED, 1, 10, 20, false",
			"FAILING, REFUSED_FULL, 1, 10, 20, false", "UNREACHABLE, NOT_CONNECTED, 1, 1, 20, false",
			"UNREACHABLE, NOT_CONNECTED, 1, 2, 20, true", "SLOW, SUCCEEDED, 10, 7, 20, false",
			"SLOW, SUCCEEDED, 10, 8, 20, true", "SLOW, SUCCEEDED, 2, 50, 20, false" })
	void ejectsByFewResults(String rule, StartOutcome.Kind kind, double slowness, int count, int peerSuccessCount,
			boolean ejected) {
		EndpointHealth health = health(kind, slowness, count);
		EndpointHealth peer = health(StartOutcome.Kind.SUCCEEDED, 1, peerSuccessCount);
		IntStream.range(0, 20 - peerSuccessCount).forEach((index) -> peer.recordOutcome(StartOutcome.Kind.FAILED, 1));
		assertThat(rule(rule).shouldEject(health, () -> List.of(peer))).isEqualTo(ejected);
	}

	@Test
	void isReinstatedByProbesAndEjectedLongerEachTime() {
		EndpointHealth health = new EndpointHealth();
		health.eject(0);
		assertThat(health.probeDue(NANOS_PER_SECOND - 1)).isFalse();
		assertThat(health.probeDue(NANOS_PER_SECOND)).isTrue();
		health.recordProbeStart();
		assertThat(health.probeDue(NANOS_PER_SECOND)).isFalse();
		health.recordProbeResult(false, NANOS_PER_SECOND);
		assertThat(health.probeDue(5 * NANOS_PER_SECOND - 1)).isFalse();
		assertThat(health.probeDue(5 * NANOS_PER_SECOND)).isTrue();
		IntStream.range(0, 3).forEach((index) -> {
			assertThat(health.ejected()).isTrue();
			health.recordProbeStart();
			health.recordProbeResult(true, 5 * NANOS_PER_SECOND);
		});
		assertThat(health.ejected()).isFalse();
	}

	private EndpointHealth health(StartOutcome.Kind kind, double slowness, int count) {
		EndpointHealth health = new EndpointHealth();
		IntStream.range(0, count).forEach((index) -> health.recordOutcome(kind, slowness));
		return health;
	}

	private EjectionRule rule(String name) {
		return switch (name) {
			case "FAILING" -> EjectionRule.FAILING;
			case "SLOW" -> EjectionRule.SLOW;
			default -> EjectionRule.UNREACHABLE;
		};
	}

}
