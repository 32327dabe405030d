package org.masticwick.core.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Joins a state that lost accepted notes with a snapshot that still holds them. Nothing
 * that either side accepted is lost, and the number of the result is above both.
 */
final class StateMerge {

	private StateMerge() {
	}

	/**
	 * Joins a state and a snapshot.
	 * @param state the state that the log led to
	 * @param snapshot the snapshot that the log holds next
	 * @return the state itself if the snapshot holds nothing more
	 */
	static SiteState merge(SiteState state, SiteState snapshot) {
		if (state.containsNotesOf(snapshot)) {
			return state;
		}
		if (snapshot.containsNotesOf(state) && snapshot.version().number() > state.version().number()) {
			return withVerdictsOf(snapshot, state).at(state.nextOffset(), state.historyHash());
		}
		boolean stateIsLonger = exceedsRecentNotes(state, snapshot) && !exceedsRecentNotes(snapshot, state);
		SiteState joined = (stateIsLonger) ? join(state, snapshot) : join(snapshot, state);
		return joined.at(state.nextOffset(), state.historyHash());
	}

	private static boolean exceedsRecentNotes(SiteState state, SiteState other) {
		return state.recentNotes().size() == SiteState.MAX_RECENT_NOTE_COUNT
				&& state.recentNotes().stream().noneMatch((note) -> other.accepted(note.id()));
	}

	private static SiteState join(SiteState lower, SiteState upper) {
		long number = Math.max(lower.version().number(), upper.version().number()) + 1;
		SiteState joined = withVerdictsOf(renumber(lower, upper, number), upper);
		List<ReleaseNote> missing = upper.recentNotes().stream().filter((note) -> !lower.accepted(note.id())).toList();
		for (ReleaseNote note : missing) {
			joined = Acceptance.reapply(joined, note);
		}
		return joined;
	}

	/**
	 * Marks what the upper state does not know as changed by the join itself, so that a
	 * note written against either history conflicts with what its author did not see.
	 * @param lower the state that is renumbered
	 * @param upper the other state
	 * @param number the version of the join
	 * @return the lower state under that version
	 */
	private static SiteState renumber(SiteState lower, SiteState upper, long number) {
		Map<EntityKey, Long> changedAt = new HashMap<>(lower.changedAt());
		changedAt.replaceAll((key, version) -> (version.equals(upper.changedAt().get(key))) ? version : number);
		SiteVersion version = new SiteVersion(number, lower.version().services(), lower.version().endpoints(),
				lower.version().rules());
		return new SiteState(version, lower.nextOffset(), lower.historyHash(), changedAt, lower.verdicts(),
				lower.recentNotes());
	}

	private static SiteState withVerdictsOf(SiteState state, SiteState other) {
		Map<String, Verdict> verdicts = new TreeMap<>(other.verdicts());
		state.verdicts().forEach((id, verdict) -> verdicts.merge(id, verdict, StateMerge::stronger));
		return new SiteState(state.version(), state.nextOffset(), state.historyHash(), state.changedAt(),
				VerdictWindow.trim(verdicts, state.version().number()), new ArrayList<>(state.recentNotes()));
	}

	private static Verdict stronger(Verdict left, Verdict right) {
		return (left.accepted() && !right.accepted()) ? left : right;
	}

}
