package org.masticwick.cli.version;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.masticwick.core.version.Acceptance;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.ServiceSpec;
import org.masticwick.core.version.SiteState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link NoteCheck}.
 */
class NoteCheckTests {

	private static List<String> texts(List<NoteFinding> findings) {
		return findings.stream()
			.map((finding) -> finding.severity() + " " + finding.entity() + " " + finding.message())
			.toList();
	}

	@Nested
	class Findings {

		/**
		 * Guards against an error that the check does not report, and against one that it
		 * reports for a note that would be accepted.
		 */
		@ParameterizedTest
		@MethodSource("org.masticwick.cli.version.NoteCheckCases#errors")
		void areErrorsForRejectedNote(String finding, ReleaseNote note) {
			assertThat(texts(NoteCheck.check(note, NoteCheckCases.STATE))).contains(finding);
			SiteState next = Acceptance.decide(NoteCheckCases.STATE, note);
			assertThat(next.version().number()).isEqualTo(2);
		}

		@ParameterizedTest
		@MethodSource("org.masticwick.cli.version.NoteCheckCases#warnings")
		void areWarningsForAcceptedNote(String finding, ReleaseNote note) {
			assertThat(texts(NoteCheck.check(note, NoteCheckCases.STATE))).containsExactly(finding);
			assertThat(Acceptance.decide(NoteCheckCases.STATE, note).verdicts().get("n").accepted()).isTrue();
		}

		@ParameterizedTest
		@MethodSource("org.masticwick.cli.version.NoteCheckCases#notesWithoutFindings")
		void areEmptyForNoteThatTakesEffect(ReleaseNote note) {
			assertThat(NoteCheck.check(note, NoteCheckCases.STATE)).isEmpty();
			assertThat(Acceptance.decide(NoteCheckCases.STATE, note).verdicts().get("n").accepted()).isTrue();
		}

		@Test
		void listEveryErrorBeforeWarnings() {
			assertThat(NoteCheck.check(NoteCheckCases.note((note) -> note.addRule("limits/queue", "9")
				.withdrawRule("team-share/a")
				.withdrawCapacity(NoteCheckCases.address(9))), NoteCheckCases.STATE)).extracting(NoteFinding::severity)
				.containsExactly(NoteFinding.Severity.ERROR, NoteFinding.Severity.ERROR, NoteFinding.Severity.WARNING);
		}

		@Test
		void tellThatNoteIsAcceptedAlready() {
			ReleaseNote note = ReleaseNote.builder("b", 1).addRule("dispatch/weighting", "messages").build();
			assertThat(texts(NoteCheck.check(note, NoteCheckCases.STATE)))
				.containsExactly("WARNING id the note was accepted as version 2; publishing it again has no effect");
		}

		@Test
		void withoutStateAreOfTheNoteAlone() {
			ReleaseNote note = NoteCheckCases.note((builder) -> builder.addRule("limits/queue", "9")
				.add(NoteCheckCases.endpoint(3, "hobart", "other", 8, 3))
				.withdrawRule("team-share/a"));
			assertThat(NoteCheck.check(note)).extracting(NoteFinding::entity)
				.containsExactly("capacity:10.1.0.3:80", "rule:limits/queue");
		}

	}

	@Nested
	class Differences {

		@Test
		void nameEntitiesAndFields() {
			ReleaseNote note = NoteCheckCases
				.note((builder) -> builder.add(new ServiceSpec("sizing", Set.of(), true, 1))
					.change(NoteCheckCases.endpoint(1, "hobart", "sizing", 16, 16))
					.withdrawCapacity(NoteCheckCases.address(2))
					.changeRule("dispatch/weighting", "response-time"));
			assertThat(NoteCheck.differences(note, NoteCheckCases.STATE.version())).containsExactly(
					"service:sizing is added",
					"capacity:10.1.0.1:80 changes: connections 8 -> 16, service fitting -> sizing, slots 8 -> 16",
					"capacity:10.1.0.2:80 is withdrawn",
					"rule:dispatch/weighting changes: value messages -> response-time");
		}

		@Test
		void areEmptyForChangeWithoutEffect() {
			assertThat(NoteCheck.differences(
					NoteCheckCases.note((note) -> note.change(NoteCheckCases.FITTING).withdrawRule("team-share/a")),
					NoteCheckCases.STATE.version()))
				.isEmpty();
		}

	}

}
