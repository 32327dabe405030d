package org.masticwick.core.version;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Decides on release notes. The decision depends on the state and the note alone, so
 * every host that read the same records reaches the same one.
 */
public final class Acceptance {

	private Acceptance() {
	}

	/**
	 * Takes a note into a state, or notes its rejection. A note whose id has a verdict
	 * has no second effect.
	 * @param state the state
	 * @param note the note
	 * @return the state after the note
	 */
	public static SiteState decide(SiteState state, ReleaseNote note) {
		if (state.verdicts().containsKey(note.id())) {
			return state;
		}
		SiteDraft draft = new SiteDraft(state, state.version().number() + 1);
		Optional<String> rejection = Stream.of(checkBase(state, note), checkValues(note), checkConflicts(state, note))
			.flatMap(Optional::stream)
			.findFirst()
			.or(() -> applyChecked(draft, note));
		return rejection
			.map((reason) -> state.with(note.id(),
					Verdict.rejected(state.version().number(), reason, SiteJson.digest(note))))
			.orElseGet(() -> draft.accept(note));
	}

	/**
	 * Takes a note that was accepted on another history of the log into a state. What was
	 * accepted once stays accepted: the later note wins.
	 * @param state the state
	 * @param note the note
	 * @return the state after the note
	 */
	static SiteState reapply(SiteState state, ReleaseNote note) {
		SiteDraft draft = new SiteDraft(state, state.version().number() + 1);
		note.changes().forEach(draft::apply);
		return draft.accept(note);
	}

	private static Optional<String> checkBase(SiteState state, ReleaseNote note) {
		long number = state.version().number();
		if (note.baseVersion() < 0 || note.baseVersion() > number) {
			return Optional
				.of("base " + note.baseVersion() + " is not a version of this site; the latest is " + number);
		}
		if (note.baseVersion() < number - SiteState.VERDICT_WINDOW_VERSIONS) {
			return Optional.of("base " + note.baseVersion() + " is too old; the latest version is " + number);
		}
		return Optional.empty();
	}

	private static Optional<String> checkValues(ReleaseNote note) {
		List<NoteProblem> problems = NoteRules.check("note", note);
		return problems.stream().findFirst().map((problem) -> problem.key() + ": " + problem.message());
	}

	private static Optional<String> checkConflicts(SiteState state, ReleaseNote note) {
		return note.changes()
			.map(NoteChange::key)
			.filter((key) -> state.changedAt().getOrDefault(key, 0L) > note.baseVersion())
			.findFirst()
			.map((key) -> "conflict: " + key + " was changed in version " + state.changedAt().get(key) + ", after base "
					+ note.baseVersion());
	}

	private static Optional<String> applyChecked(SiteDraft draft, ReleaseNote note) {
		List<EndpointSpec> before = draft.orphans();
		Set<EntityKey> seen = new HashSet<>();
		for (NoteChange change : note.changes().toList()) {
			if (!seen.add(change.key())) {
				return Optional.of(change.key() + " is listed twice");
			}
			boolean exists = draft.exists(change.key());
			if (exists == (change.kind() == ChangeKind.ADD)) {
				return Optional.of(change.key() + ((exists) ? " exists already" : " does not exist"));
			}
			draft.apply(change);
		}
		return draft.orphans()
			.stream()
			.filter((endpoint) -> !before.contains(endpoint))
			.findFirst()
			.map((endpoint) -> "capacity:" + endpoint.address() + " names the service " + endpoint.service()
					+ ", which does not exist");
	}

}
