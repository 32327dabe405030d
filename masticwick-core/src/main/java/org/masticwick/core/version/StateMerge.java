package org.masticwick.core.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Merges a state whose log has lost accepted notes with a snapshot that still holds them.
 * The result keeps every note that either side accepted, and unless one side contains the
 * other, its version number is above both.
 */
final class StateMerge {

	private StateMerge() {
	}

	/**
	 * Merges a snapshot into a state.
	 * @param state the state after the records before the snapshot
	 * @param snapshot the state in the next record of the log
	 * @return the merged state, at the position of {@code state} in the log;
	 * {@code state} itself if it already contains every accepted note of the snapshot
	 */
	static SiteState merge(SiteState state, SiteState snapshot) {
		if (state.containsNotesOf(snapshot)) {
			return state;
		}
		if (snapshot.containsNotesOf(state) && snapshot.version().number() > state.version().number()) {
			return withVerdictsOf(snapshot, state).withPosition(state.nextOffset(), state.historyHash());
		}
		// Only recent notes can be reapplied on top of the base, so a state that has more
		// notes of its own than its recent ones must be the base.
		boolean stateIsBase = leadExceedsRecentNotes(state, snapshot) && !leadExceedsRecentNotes(snapshot, state);
		SiteState merged = (stateIsBase) ? mergeDiverged(state, snapshot) : mergeDiverged(snapshot, state);
		return merged.withPosition(state.nextOffset(), state.historyHash());
	}

	private static boolean leadExceedsRecentNotes(SiteState state, SiteState other) {
		return state.recentNotes().size() == SiteState.MAX_RECENT_NOTE_COUNT
				&& state.recentNotes().stream().noneMatch((note) -> other.accepted(note.id()));
	}

	private static SiteState mergeDiverged(SiteState base, SiteState overlay) {
		long number = Math.max(base.version().number(), overlay.version().number()) + 1;
		SiteState merged = withVerdictsOf(renumber(base, overlay, number), overlay);
		List<ReleaseNote> missingNotes = overlay.recentNotes()
			.stream()
			.filter((note) -> !base.accepted(note.id()))
			.toList();
		for (ReleaseNote note : missingNotes) {
			merged = Acceptance.reapply(merged, note);
		}
		return merged;
	}

	/**
	 * Gives the base state the version number of the merge. Entities whose last change
	 * differs between the two states are marked as changed by the merge itself, so that a
	 * later note written against either history conflicts with changes that its author
	 * did not see.
	 * @param base the state that gets the new number
	 * @param overlay the state that is merged into the base
	 * @param number the version number of the merge
	 * @return the base state under that number
	 */
	private static SiteState renumber(SiteState base, SiteState overlay, long number) {
		Map<EntityKey, Long> changedAt = new HashMap<>(base.changedAt());
		changedAt.replaceAll((key, version) -> (version.equals(overlay.changedAt().get(key))) ? version : number);
		SiteVersion version = new SiteVersion(number, base.version().services(), base.version().endpoints(),
				base.version().rules());
		return new SiteState(version, base.nextOffset(), base.historyHash(), changedAt, base.verdicts(),
				base.recentNotes());
	}

	private static SiteState withVerdictsOf(SiteState state, SiteState other) {
		Map<String, Verdict> verdicts = new TreeMap<>(other.verdicts());
		state.verdicts().forEach((id, verdict) -> verdicts.merge(id, verdict, StateMerge::preferAccepted));
		return new SiteState(state.version(), state.nextOffset(), state.historyHash(), state.changedAt(),
				VerdictWindow.trim(verdicts, state.version().number()), new ArrayList<>(state.recentNotes()));
	}

	private static Verdict preferAccepted(Verdict first, Verdict second) {
		return (first.accepted() && !second.accepted()) ? first : second;
	}

}
