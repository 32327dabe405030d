package org.masticwick.core.pool;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PauseGuard}.
 */
class PauseGuardTests {

	private static final long EPOCH_MILLIS = 1_800_000_000_000L;

	private final PauseGuard guard = new PauseGuard(1_000, EPOCH_MILLIS);

	@ParameterizedTest(name = "{0} ms by the monotonic clock, {1} ms by the time of day")
	@CsvSource({ "50, 50, false", "350, 350, false", "351, 351, true", "50, 4000, true", "4000, 4000, true",
			"50, -3000, false" })
	void delaysStartsAfterAPause(long elapsedMillis, long elapsedEpochMillis, boolean delayed) {
		assertThat(this.guard.delaysStarts(1_000 + elapsedMillis, EPOCH_MILLIS + elapsedEpochMillis))
			.isEqualTo(delayed);
	}

	@Test
	void delaysStartsForAWhileAfterTheFirstTick() {
		assertThat(this.guard.tick(5_000, EPOCH_MILLIS + 4_000)).isTrue();
		assertThat(this.guard.tick(5_050, EPOCH_MILLIS + 4_050)).isFalse();
		assertThat(this.guard.delaysStarts(5_199, EPOCH_MILLIS + 4_199)).isTrue();
		assertThat(this.guard.delaysStarts(5_200, EPOCH_MILLIS + 4_200)).isFalse();
	}

}
