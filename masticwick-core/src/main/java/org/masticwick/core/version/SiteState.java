package org.masticwick.core.version;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Immutable state of the site after replaying the log up to an offset: the active version
 * and the data that verdicts on later notes depend on.
 *
 * @param version the active version
 * @param nextOffset the offset of the first record that is not applied yet
 * @param historyHash the hash over the records before that offset, which tells apart two
 * histories of the log
 * @param changedAt the number of the version that last changed each entity
 * @param verdicts the verdicts by note id, as far back as
 * {@value #VERDICT_WINDOW_VERSIONS} versions
 * @param recentNotes the most recently accepted notes, oldest first, at most
 * {@value #MAX_RECENT_NOTE_COUNT}
 */
public record SiteState(SiteVersion version, long nextOffset, String historyHash, Map<EntityKey, Long> changedAt,
		Map<String, Verdict> verdicts, List<ReleaseNote> recentNotes) {

	/**
	 * Number of past versions for which verdicts are kept, and which a note may name as
	 * its base version.
	 */
	public static final long VERDICT_WINDOW_VERSIONS = 4_096;

	/** Maximum number of rejections among the verdicts that are kept. */
	static final int MAX_REJECTED_COUNT = 4_096;

	/**
	 * Maximum number of accepted notes that a state carries, to be reapplied when it is
	 * merged with a state of another history.
	 */
	static final int MAX_RECENT_NOTE_COUNT = 256;

	/** The state before any record. */
	public static final SiteState EMPTY = new SiteState(SiteVersion.EMPTY, 0, "", Map.of(), Map.of(), List.of());

	/**
	 * Copies the maps and the notes. The copies of the maps are sorted by key.
	 */
	public SiteState {
		changedAt = Collections.unmodifiableMap(new TreeMap<>(changedAt));
		verdicts = Collections.unmodifiableMap(new TreeMap<>(verdicts));
		recentNotes = List.copyOf(recentNotes);
	}

	/**
	 * Returns the position of this state in the history of the log.
	 * @return the position
	 */
	public HistoryPosition position() {
		return new HistoryPosition(this.version.number(), this.nextOffset, this.historyHash);
	}

	/**
	 * Returns whether a note was accepted, as far back as verdicts are kept.
	 * @param noteId the id of the note
	 * @return {@code true} if it was accepted
	 */
	public boolean accepted(String noteId) {
		Verdict verdict = this.verdicts.get(noteId);
		return verdict != null && verdict.accepted();
	}

	/**
	 * Returns whether every recent note that another state accepted is accepted in this
	 * state too, so that replacing the other state by this one reverts no accepted note.
	 * A state whose version is older than the window of verdicts counts as contained,
	 * since its notes can't be compared any more.
	 * @param other the other state
	 * @return {@code true} if no recent note of the other state is missing here
	 */
	public boolean containsNotesOf(SiteState other) {
		if (other.version.number() < this.version.number() - VERDICT_WINDOW_VERSIONS) {
			return true;
		}
		return this.version.number() >= other.version.number()
				&& other.recentNotes.stream().allMatch((note) -> accepted(note.id()));
	}

	/**
	 * Returns this state at a later offset with the same hash, to continue from a
	 * snapshot when the records before it have expired.
	 * @param offset the offset of the next record to apply
	 * @return the state
	 */
	public SiteState withNextOffset(long offset) {
		return withPosition(offset, this.historyHash);
	}

	/**
	 * Returns this state at another position of the log.
	 * @param offset the offset of the first record that is not applied yet
	 * @param hash the hash over the records before that offset
	 * @return the state
	 */
	SiteState withPosition(long offset, String hash) {
		return new SiteState(this.version, offset, hash, this.changedAt, this.verdicts, this.recentNotes);
	}

	/**
	 * Returns this state with an additional verdict.
	 * @param noteId the id of the note
	 * @param verdict the verdict on the note
	 * @return the changed copy
	 */
	SiteState withVerdict(String noteId, Verdict verdict) {
		Map<String, Verdict> newVerdicts = new TreeMap<>(this.verdicts);
		newVerdicts.put(noteId, verdict);
		return new SiteState(this.version, this.nextOffset, this.historyHash, this.changedAt,
				VerdictWindow.trim(newVerdicts, this.version.number()), this.recentNotes);
	}

}
