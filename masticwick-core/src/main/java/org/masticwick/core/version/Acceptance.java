package org.masticwick.core.version;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Validates release notes against a state and applies the accepted ones. The verdict
 * depends on the state and the note alone, so every host that has read the same records
 * of the log reaches the same verdict.
 */
public final class Acceptance {

	private Acceptance() {
	}

	/**
	 * Applies a note to a state if it is valid, or records its rejection. A note whose id
	 * already has a verdict leaves the state unchanged.
	 * @param state the state to apply the note to
	 * @param note the note
	 * @return the state with the verdict on the note
	 */
	public static SiteState decide(SiteState state, ReleaseNote note) {
		if (state.verdicts().containsKey(note.id())) {
			return state;
		}
		SiteDraft draft = new SiteDraft(state, state.version().number() + 1);
		Optional<String> rejection = Stream.of(checkBase(state, note), checkValues(note), checkConflicts(state, note))
			.flatMap(Optional::stream)
			.findFirst()
			.or(() -> applyChanges(draft, note));
		return rejection
			.map((reason) -> state.withVerdict(note.id(),
					Verdict.rejected(state.version().number(), reason, SiteJson.digest(note))))
			.orElseGet(() -> draft.accept(note));
	}

	/**
	 * Applies a note that was accepted on another history of the log, without validating
	 * it again: an accepted note stays accepted. Where two notes changed the same entity,
	 * the note that is applied later wins.
	 * @param state the state to apply the note to
	 * @param note the accepted note
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
		List<NoteProblem> problems = NoteValidator.check("note", note);
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

	private static Optional<String> applyChanges(SiteDraft draft, ReleaseNote note) {
		List<EndpointSpec> alreadyWithoutService = draft.endpointsWithoutService();
		Set<EntityKey> changedKeys = new HashSet<>();
		for (NoteChange change : note.changes().toList()) {
			if (!changedKeys.add(change.key())) {
				return Optional.of(change.key() + " is listed twice");
			}
			boolean exists = draft.exists(change.key());
			if (exists == (change.kind() == ChangeKind.ADD)) {
				return Optional.of(change.key() + ((exists) ? " exists already" : " does not exist"));
			}
			draft.apply(change);
		}
		return draft.endpointsWithoutService()
			.stream()
			.filter((endpoint) -> !alreadyWithoutService.contains(endpoint))
			.findFirst()
			.map((endpoint) -> "capacity:" + endpoint.address() + " names the service " + endpoint.service()
					+ ", which does not exist");
	}

}
