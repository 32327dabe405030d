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

	private static final long SETTLED_SINCE_MILLIS = 900;

	private final Set<String> lostPools = new HashSet<>();

	private final JobRegistry registry = new JobRegistry((pool) -> !this.lostPools.contains(pool));

	@BeforeEach
	void registerTheFirstCopy() {
		assertThat(register("d2", "", 1_000)).contains("d2");
	}

	private Optional<String> register(String pool, String refusedBy, long nowMillis) {
		return decided(new JobRegistration("j", pool, refusedBy, 0, false), nowMillis);
	}

	private Optional<String> repeat(String pool, long nowMillis) {
		return decided(new JobRegistration("j", pool, "", 0, true), nowMillis);
	}

	private Optional<String> decided(JobRegistration registration, long nowMillis) {
		RegistrationAnswer answer = this.registry.register(registration, SETTLED_SINCE_MILLIS, nowMillis);
		return Optional.of(answer)
			.filter((decision) -> decision.scope() == RegistrationScope.SITE)
			.map(RegistrationAnswer::pool);
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
	class OwnersThatDoNotKnowAllJobs {

		private final JobRegistry registry = new JobRegistry((pool) -> true);

		private RegistrationAnswer register(String pool, long settledSinceMillis, long nowMillis) {
			return this.registry.register(new JobRegistration("j", pool, "", 0, false), settledSinceMillis, nowMillis);
		}

		@Test
		void letAllOwnersBeAsked() {
			assertThat(register("d1", Long.MAX_VALUE, 1_000))
				.isEqualTo(new RegistrationAnswer("d1", RegistrationScope.OWNER));
			assertThat(register("d2", 1_500, 1_001)).isEqualTo(new RegistrationAnswer("d2", RegistrationScope.OWNER));
		}

		/** The owner of that copy may have been told of another one since. */
		@Test
		void letAllOwnersBeAskedForTheirJobsLaterToo() {
			register("d1", Long.MAX_VALUE, 1_000);
			assertThat(register("d1", 1_500, 1_600).scope()).isEqualTo(RegistrationScope.OWNER);
			assertThat(register("d2", 1_500, 1_601)).isEqualTo(new RegistrationAnswer("d2", RegistrationScope.OWNER));
		}

		@Test
		void letAllOwnersBeAskedForJobsThatTheyHaveRegisteredBefore() {
			assertThat(register("d1", 900, 1_000).scope()).isEqualTo(RegistrationScope.SITE);
			assertThat(register("d1", 1_500, 1_600).scope()).isEqualTo(RegistrationScope.OWNER);
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
