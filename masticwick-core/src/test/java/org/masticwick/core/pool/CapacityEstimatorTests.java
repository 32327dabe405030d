package org.masticwick.core.pool;

import java.util.stream.LongStream;

import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CapacityEstimator}.
 */
class CapacityEstimatorTests {

	private static final Offset<Double> TOLERANCE = Offset.offset(0.03);

	private final CapacityEstimator estimator = new CapacityEstimator();

	private void observe(double usedShare, boolean tasksWait, long fromMillis, long toMillis) {
		LongStream.rangeClosed(fromMillis / 50, toMillis / 50)
			.forEach((tick) -> this.estimator.observe(usedShare, tasksWait, 50 * tick));
	}

	/** Guards against a usable share that fits one site only. */
	@Test
	void learnsTheUsableShareWhileTasksWait() {
		observe(0.75, true, 0, 4_000);
		assertThat(this.estimator.usableShare()).isCloseTo(0.75, TOLERANCE);
	}

	@Test
	void doesNotTakeIdleCapacityForUnusable() {
		observe(0.2, false, 0, 10_000);
		assertThat(this.estimator.usableShare()).isEqualTo(1);
	}

	@Test
	void raisesTheShareAtOnce() {
		observe(0.6, true, 0, 4_000);
		observe(0.9, false, 4_050, 4_050);
		assertThat(this.estimator.usableShare()).isEqualTo(0.9);
	}

	@Test
	void leavesWhatTheUsualLoadDoesNotUseToReturningCallers() {
		observe(0.5, false, 0, 2_000);
		observe(0.75, true, 2_050, 12_000);
		assertThat(this.estimator.spareShare()).isCloseTo(0.25, TOLERANCE);
	}

}
