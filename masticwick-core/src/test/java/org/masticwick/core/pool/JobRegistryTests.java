package org.masticwick.core.pool;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link JobRegistry}.
 */
class JobRegistryTests {

	private final Set<String> lostPools = new HashSet<>();

	private final JobRegistry registry = new JobRegistry((pool) -> !this.lostPools.contains(pool));

	@BeforeEach
	void registerTheFirstCopy() {
		assertThat(register("d2", "", 1_000)).contains("d2");
	}

	private Optional<String> register(String pool, String refusedBy, long nowMillis) {
		return this.registry.register(new JobRegistration("j", pool, refusedBy, 0, false), nowMillis);
	}

	private Optional<String> repeat(String pool, long nowMillis) {
		return this.registry.register(new JobRegistration("j", pool, "", 0, true), nowMillis);
	}

	@Nested
	class LaterCopies {

		@Test
		void followTheFirst() {
			assertThat(register("d3", "", 1_005)).contains("d2");
			assertThat(register("d1", "", 1_006)).contains("d2");
		}

		@Test
		void areUndecidedWhileTheOwnerOfTheFirstMayRunItUnreachably() {
			JobRegistryTests.this.lostPools.add("d2");
			assertThat(register("d3", "", 2_299)).isEmpty();
		}

		@Test
		void runAgainInThePoolOfTheFirstAlthoughItsOwnerWasLost() {
			JobRegistryTests.this.lostPools.add("d2");
			assertThat(register("d2", "", 1_005)).contains("d2");
		}

		/**
		 * A caller who came again used to get 502, as its job followed to a lost owner.
		 */
		@Test
		void followToNoLostOwner() {
			JobRegistryTests.this.lostPools.add("d2");
			assertThat(register("d3", "", 2_300)).contains("d3");
			assertThat(register("d1", "", 2_301)).contains("d3");
		}

		@Test
		void goAnywhereOnceTheJobIsForgotten() {
			assertThat(register("d3", "", 31_000)).contains("d2");
			assertThat(register("d3", "", 31_001)).contains("d3");
		}

	}

	@Nested
	class Refusals {

		@Test
		void letTheOnlyCopyGoElsewhere() {
			assertThat(register("d3", "d2", 1_005)).contains("d3");
			assertThat(register("d2", "", 1_010)).contains("d3");
		}

		/** The pool may have accepted the other copy after it refused this one. */
		@Test
		void letNoCopyGoElsewhereAfterAnotherHasFollowed() {
			register("d3", "", 1_005);
			assertThat(register("d3", "d2", 1_010)).contains("d2");
		}

		@Test
		void letACopyGoElsewhereThatWasRegisteredTwice() {
			repeat("d2", 1_005);
			assertThat(register("d3", "d2", 1_010)).contains("d3");
		}

	}

}
