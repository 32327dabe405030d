package org.masticwick.core.version;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Is the immutable result of folding the log up to an offset: the version in force and
 * what the verdicts on later notes depend on.
 *
 * @param version the version in force
 * @param nextOffset the offset of the first record that was not folded
 * @param historyHash the hash over the records before that offset
 * @param changedAt the version that changed each entity last
 * @param verdicts the verdicts on notes by id, within {@value #VERDICT_WINDOW_VERSIONS}
 * versions
 * @param recentNotes the notes accepted last, oldest first, at most
 * {@value #MAX_RECENT_NOTE_COUNT}
 */
public record SiteState(SiteVersion version, long nextOffset, String historyHash, Map<EntityKey, Long> changedAt,
		Map<String, Verdict> verdicts, List<ReleaseNote> recentNotes) {

	/** How many versions back verdicts and bases of notes reach. */
	public static final long VERDICT_WINDOW_VERSIONS = 4_096;

	/** How many verdicts of rejection are kept at most. */
	static final int MAX_REJECTED_COUNT = 4_096;

	/** How many accepted notes a state carries to be put on top of a restored one. */
	static final int MAX_RECENT_NOTE_COUNT = 256;

	/** The state before any record. */
	public static final SiteState EMPTY = new SiteState(SiteVersion.EMPTY, 0, "", Map.of(), Map.of(), List.of());

	/**
	 * Copies the maps and the notes. The maps keep the order of their keys.
	 */
	public SiteState {
		changedAt = Collections.unmodifiableMap(new TreeMap<>(changedAt));
		verdicts = Collections.unmodifiableMap(new TreeMap<>(verdicts));
		recentNotes = List.copyOf(recentNotes);
	}

	/**
	 * Returns how far this state has followed which history.
	 * @return the position
	 */
	public HistoryPosition position() {
		return new HistoryPosition(this.version.number(), this.nextOffset, this.historyHash);
	}

	/**
	 * Tells whether a note was accepted, as far back as verdicts reach.
	 * @param noteId the id of the note
	 * @return {@code true} if it was accepted
	 */
	public boolean accepted(String noteId) {
		Verdict verdict = this.verdicts.get(noteId);
		return verdict != null && verdict.accepted();
	}

	/**
	 * Tells whether every note accepted in another state is accepted here too, so that
	 * going from the other state to this one takes nothing back.
	 * @param other the other state
	 * @return {@code true} if nothing of the other state is missing
	 */
	public boolean containsNotesOf(SiteState other) {
		if (other.version.number() < this.version.number() - VERDICT_WINDOW_VERSIONS) {
			return true;
		}
		return this.version.number() >= other.version.number()
				&& other.recentNotes.stream().allMatch((note) -> accepted(note.id()));
	}

	/**
	 * Returns this state as the start of what follows a record, when the records before
	 * it have expired.
	 * @param offset the offset of the record that follows
	 * @return the state
	 */
	public SiteState withNextOffset(long offset) {
		return at(offset, this.historyHash);
	}

	/**
	 * Returns this state at another place of the log.
	 * @param offset the offset of the first record that was not folded
	 * @param hash the hash over the records before that offset
	 * @return the state
	 */
	SiteState at(long offset, String hash) {
		return new SiteState(this.version, offset, hash, this.changedAt, this.verdicts, this.recentNotes);
	}

	/**
	 * Returns this state with a verdict more.
	 * @param noteId the id of the note
	 * @param verdict the verdict
	 * @return the state
	 */
	SiteState with(String noteId, Verdict verdict) {
		Map<String, Verdict> next = new TreeMap<>(this.verdicts);
		next.put(noteId, verdict);
		return new SiteState(this.version, this.nextOffset, this.historyHash, this.changedAt,
				VerdictWindow.trim(next, this.version.number()), this.recentNotes);
	}

}
