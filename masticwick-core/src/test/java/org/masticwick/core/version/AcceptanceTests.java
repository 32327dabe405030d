package org.masticwick.core.version;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Acceptance}.
 */
class AcceptanceTests {

	private static final SiteState START = SiteFixtures.fold(SiteState.EMPTY,
			ReleaseNote.builder("first", 0)
				.add(SiteFixtures.service("fitting"))
				.add(SiteFixtures.endpoint(9001, "fitting"))
				.addRule(Rules.WEIGHTING, "messages")
				.build(),
			ReleaseNote.builder("second", 1).change(SiteFixtures.service("fitting", 2_000)).build());

	@Nested
	class Rejections {

		@ParameterizedTest(name = "{1}")
		@MethodSource("org.masticwick.core.version.AcceptanceCases#rejected")
		void nameReasonAndKeepVersion(ReleaseNote note, String reason) {
			SiteState state = SiteFixtures.fold(START, note);
			assertThat(state.verdicts().get(note.id()).reason()).contains(reason);
			assertThat(state.version()).isEqualTo(START.version());
		}

		@Test
		void arePermanentEvenIfBaseVersionExistsLater() {
			ReleaseNote tooHighBase = ReleaseNote.builder("early", 9).addRule("limits/queue", "9").build();
			SiteState state = SiteFixtures.fold(START, tooHighBase);
			for (int i = 0; i < 9; i++) {
				state = SiteFixtures.fold(state, ReleaseNote.builder("n" + i, 2).addRule("limits/r" + i, "1").build());
			}
			assertThat(SiteFixtures.fold(state, tooHighBase).accepted("early")).isFalse();
		}

	}

	@Nested
	class Acceptances {

		@ParameterizedTest(name = "{1}")
		@MethodSource("org.masticwick.core.version.AcceptanceCases#accepted")
		void createNextVersion(ReleaseNote note, String description) {
			SiteState state = SiteFixtures.fold(START, note);
			assertThat(state.accepted(note.id())).as(description + ": " + state.verdicts().get(note.id())).isTrue();
			assertThat(state.version().number()).isEqualTo(START.version().number() + 1);
		}

		@Test
		void haveNoEffectIfAppendedTwice() {
			ReleaseNote note = ReleaseNote.builder("limit", 2).addRule("limits/queue", "9").build();
			ReleaseNote withdrawal = ReleaseNote.builder("gone", 3).withdrawRule("limits/queue").build();
			SiteState state = SiteFixtures.fold(START, note, withdrawal, note);
			assertThat(state.version().number()).isEqualTo(4);
			assertThat(state.version().rules().values()).doesNotContainKey("limits/queue");
			assertThat(state.verdicts().get("limit").version()).isEqualTo(3);
		}

		@Test
		void doNotApplyToDifferentNoteWithSameId() {
			ReleaseNote other = ReleaseNote.builder("second", 2).addRule("limits/queue", "9").build();
			SiteState state = SiteFixtures.fold(START, other);
			assertThat(state.version()).isEqualTo(START.version());
			assertThat(state.verdicts().get("second").appliesTo(other)).isFalse();
		}

	}

	@Nested
	class VerdictExpiry {

		@Test
		void rejectDuplicateWhoseVerdictHasExpired() {
			ReleaseNote old = ReleaseNote.builder("old", 2).addRule("limits/old", "1").build();
			SiteState state = SiteFixtures.fold(START, old);
			for (int i = 0; i <= SiteState.VERDICT_WINDOW_VERSIONS; i++) {
				state = Acceptance.decide(state,
						ReleaseNote.builder("n" + i, state.version().number())
							.changeRule("limits/old", Integer.toString(i + 1))
							.build());
			}
			assertThat(state.verdicts()).doesNotContainKey("old")
				.hasSizeLessThanOrEqualTo((int) SiteState.VERDICT_WINDOW_VERSIONS + 1);
			assertThat(SiteFixtures.fold(state, old).verdicts().get("old").reason()).contains("too old");
		}

	}

}
