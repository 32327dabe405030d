package org.masticwick.fleet.process;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import org.masticwick.core.pool.JobOutcome;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FleetMetrics}.
 */
class FleetMetricsTests {

	private final FleetMetrics metrics = new FleetMetrics();

	/** Labels with the figures of a decision would be without a bound. */
	@Test
	void countsRefusedJobsByTheCodeOfTheReasonAndByPriority() {
		JobOutcome refusal = new JobOutcome(JobOutcome.Kind.REFUSED, 500, "would-be-late priority=2 wait_ms=83");
		this.metrics.jobRefused(refusal, 2);
		this.metrics.jobRefused(refusal, 4);
		this.metrics.jobRefused(refusal, 900);
		assertThat(new String(this.metrics.toText(), StandardCharsets.UTF_8))
			.contains("masticwick_jobs_refused_total{priority=\"2\",reason=\"would-be-late\"} 1.0")
			.contains("masticwick_jobs_refused_total{priority=\"low\",reason=\"would-be-late\"} 2.0");
	}

}
