package org.masticwick.core.pool;

import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SpilledJobs}.
 */
class SpilledJobsTests {

	private final Set<String> lostPools = new HashSet<>();

	private final SpilledJobs spilledJobs = new SpilledJobs((pool) -> !this.lostPools.contains(pool));

	@BeforeEach
	void placeTheFirstCopy() {
		assertThat(this.spilledJobs.place("j", "d2", "", 1_000)).isEqualTo("d2");
	}

	@Nested
	class LaterCopies {

		@Test
		void followTheFirst() {
			assertThat(SpilledJobsTests.this.spilledJobs.place("j", "d3", "", 1_005)).isEqualTo("d2");
			assertThat(SpilledJobsTests.this.spilledJobs.poolOf("j", 1_005)).contains("d2");
		}

		/**
		 * A caller who came again used to get 502, as its job followed to a lost owner.
		 */
		@Test
		void followToNoLostOwner() {
			SpilledJobsTests.this.lostPools.add("d2");
			assertThat(SpilledJobsTests.this.spilledJobs.poolOf("j", 2_300)).isEmpty();
			assertThat(SpilledJobsTests.this.spilledJobs.place("j", "d3", "", 2_300)).isEqualTo("d3");
			assertThat(SpilledJobsTests.this.spilledJobs.poolOf("j", 2_300)).contains("d3");
		}

		@Test
		void goAnywhereOnceTheJobIsForgotten() {
			assertThat(SpilledJobsTests.this.spilledJobs.poolOf("j", 6_000)).contains("d2");
			assertThat(SpilledJobsTests.this.spilledJobs.poolOf("j", 6_001)).isEmpty();
			assertThat(SpilledJobsTests.this.spilledJobs.place("j", "d3", "", 6_001)).isEqualTo("d3");
		}

	}

	@Nested
	class Refusals {

		@Test
		void letTheOnlyCopyGoElsewhere() {
			assertThat(SpilledJobsTests.this.spilledJobs.place("j", "d3", "d2", 1_005)).isEqualTo("d3");
			assertThat(SpilledJobsTests.this.spilledJobs.place("j", "d2", "", 1_010)).isEqualTo("d3");
		}

		/** The pool may have accepted the other copy after it refused this one. */
		@Test
		void letNoCopyGoElsewhereAfterAnotherHasFollowed() {
			SpilledJobsTests.this.spilledJobs.place("j", "d3", "", 1_005);
			assertThat(SpilledJobsTests.this.spilledJobs.place("j", "d3", "d2", 1_010)).isEqualTo("d2");
		}

	}

}
