package org.masticwick.core.pool;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link EndpointHealth}.
 */
class EndpointHealthTests {

	private static final double LONG_TASKS_SHARE = 0.03;

	private final EndpointHealth health = new EndpointHealth();

	@Nested
	class Speed {

		@Test
		void isLearntFromRuns() {
			for (int index = 0; index < 50; index++) {
				EndpointHealthTests.this.health.succeeded(1.4);
			}
			assertThat(EndpointHealthTests.this.health.slowness()).isEqualTo(1.4, within(0.01));
		}

		@Test
		void isForgottenOnRestart() {
			EndpointHealthTests.this.health.succeeded(3);
			EndpointHealthTests.this.health.slow(true, LONG_TASKS_SHARE, 100);
			EndpointHealthTests.this.health.restarted();
			assertThat(EndpointHealthTests.this.health.slowness()).isEqualTo(1);
			assertThat(EndpointHealthTests.this.health.slow(true, LONG_TASKS_SHARE, 200)).isFalse();
		}

	}

	/**
	 * Guards against endpoints whose long-running tasks fail staying suspected for good,
	 * as no run there ends as done.
	 */
	@Nested
	class ATaskAtWork {

		@Test
		void endsTheSuspicion() {
			EndpointHealth health = EndpointHealthTests.this.health;
			health.failed("j1", 100);
			assertThat(health.failed("j2", 200)).isTrue();
			health.taskAtWork();
			assertThat(health.acceptsTask(() -> 1, 201)).isTrue();
		}

		@Test
		void endsARowOfFailures() {
			EndpointHealth health = EndpointHealthTests.this.health;
			health.failed("j1", 100);
			health.taskAtWork();
			assertThat(health.failed("j2", 200)).isFalse();
		}

		@Test
		void isNoEvidenceOfUsualSpeed() {
			EndpointHealth health = EndpointHealthTests.this.health;
			health.slow(true, LONG_TASKS_SHARE, 100);
			health.taskAtWork();
			assertThat(health.slow(true, LONG_TASKS_SHARE, 200)).isTrue();
		}

	}

	@Nested
	class SlowRuns {

		@Test
		void ofAQueueWithoutLongTasksCountAtOnceAndSuspectTheEndpointAtTheSecond() {
			EndpointHealth health = EndpointHealthTests.this.health;
			assertThat(health.slow(true, EndpointHealth.MAX_CHANCE, 100)).isFalse();
			assertThat(health.isSlow()).isTrue();
			assertThat(health.slow(true, EndpointHealth.MAX_CHANCE, 200)).isTrue();
			assertThat(health.acceptsTask(() -> 0, 201)).isFalse();
		}

		@Test
		void ofAQueueWithLongTasksCountAtTheSecond() {
			EndpointHealth health = EndpointHealthTests.this.health;
			assertThat(health.slow(true, LONG_TASKS_SHARE, 100)).isFalse();
			assertThat(health.isSlow()).isFalse();
			assertThat(health.slow(true, LONG_TASKS_SHARE, 200)).isTrue();
			assertThat(health.isSlow()).isTrue();
		}

		@Test
		void areNoEvidenceAfterARunOfUsualSpeed() {
			EndpointHealth health = EndpointHealthTests.this.health;
			health.slow(true, LONG_TASKS_SHARE, 100);
			health.succeeded(1);
			assertThat(health.slow(true, LONG_TASKS_SHARE, 200)).isFalse();
			assertThat(health.isSlow()).isFalse();
		}

		@Test
		void thatStallCountMoreWithTime() {
			EndpointHealth health = EndpointHealthTests.this.health;
			health.slow(true, LONG_TASKS_SHARE, 100);
			assertThat(health.slow(false, 0.05, 200)).isFalse();
			assertThat(health.isSlow()).isTrue();
			assertThat(health.isSuspected()).isFalse();
		}

		@Test
		void areTheUsualCaseOfSomeQueuesAndThenNoEvidence() {
			EndpointHealth health = EndpointHealthTests.this.health;
			for (int index = 0; index < 5; index++) {
				assertThat(health.slow(true, 0.4, 100)).isFalse();
			}
			assertThat(health.isSlow()).isFalse();
		}

	}

}
