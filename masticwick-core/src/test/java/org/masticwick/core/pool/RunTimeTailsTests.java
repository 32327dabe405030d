package org.masticwick.core.pool;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link RunTimeTails}.
 */
class RunTimeTailsTests {

	private final RunTimeTails tails = new RunTimeTails();

	private void observe(int runCount, int longEvery, double longRatio) {
		IntStream.range(0, runCount)
			.forEach((index) -> this.tails.observe("queue", (index % longEvery == 0) ? longRatio : 1));
	}

	@Nested
	class FewRuns {

		@Test
		void makeALongRunEvidenceAgainstItsEndpoint() {
			observe(49, 2, 7);
			assertThat(RunTimeTailsTests.this.tails.share("queue", 3)).isEqualTo(EndpointHealth.MAX_CHANCE);
			assertThat(RunTimeTailsTests.this.tails.share("other", 3)).isEqualTo(EndpointHealth.MAX_CHANCE);
		}

	}

	@Nested
	class ManyRuns {

		@Test
		void giveTheShareOfLongRuns() {
			observe(3_000, 33, 7);
			assertThat(RunTimeTailsTests.this.tails.share("queue", 3)).isEqualTo(0.03, within(0.005));
			assertThat(RunTimeTailsTests.this.tails.share("queue", 6)).isEqualTo(0.03, within(0.005));
		}

		@Test
		void tellNothingOfRunsThatTakeLongerThanAny() {
			observe(3_000, 33, 7);
			assertThat(RunTimeTailsTests.this.tails.share("queue", 100)).isEqualTo(EndpointHealth.MAX_CHANCE);
		}

		@Test
		void areForgottenWhenTasksChange() {
			observe(3_000, 33, 7);
			observe(10_000, 20_000, 1);
			assertThat(RunTimeTailsTests.this.tails.share("queue", 3)).isEqualTo(EndpointHealth.MAX_CHANCE);
		}

	}

}
