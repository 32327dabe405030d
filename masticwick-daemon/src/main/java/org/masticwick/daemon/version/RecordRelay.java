package org.masticwick.daemon.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.version.HistoryPosition;
import org.masticwick.core.version.InvalidNoteException;
import org.masticwick.core.version.LogRecord;
import org.masticwick.core.version.NoteFold;
import org.masticwick.core.version.SiteRecordCodec;
import org.masticwick.core.version.SiteState;

/**
 * Passes release notes between peers, so that a host that is cut from the log follows as
 * long as it reaches one that is not.
 */
public final class RecordRelay {

	/** Asks for the state instead of records. */
	public static final long STATE_REQUESTED = -1;

	private static final Logger LOG = LoggerFactory.getLogger(RecordRelay.class);

	private static final int MAX_ANSWER_CHARACTER_COUNT = 262_144;

	private final VersionRegistry registry;

	private volatile String refusedHistoryHash = "";

	/**
	 * Creates a relay.
	 * @param registry holds the version in force
	 */
	public RecordRelay(VersionRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Tells whether a peer has something to fetch. A state that was refused is not
	 * fetched again: it lacks notes that are in force here, and only the log can join the
	 * two.
	 * @param peer what the heartbeat of the peer said
	 * @return {@code true} if fetching makes sense
	 */
	public boolean shouldFetchFrom(HistoryPosition peer) {
		return peer.aheadOf(this.registry.position()) && !peer.historyHash().equals(this.refusedHistoryHash);
	}

	/**
	 * Returns from where to fetch next.
	 * @return the offset, or {@link #STATE_WANTED} while no state is known
	 */
	public long fetchOffset() {
		return (this.registry.hasState()) ? this.registry.nextOffset() : STATE_REQUESTED;
	}

	/**
	 * Answers a peer.
	 * @param fromOffset the offset of the first record wanted, or {@link #STATE_WANTED}
	 * @param limit how many records the peer takes at most
	 * @return records from the offset on, or a state if they are not at hand; neither if
	 * no state is known here
	 */
	public RelayedRecords answerFetch(long fromOffset, int limit) {
		if (!this.registry.hasState()) {
			return new RelayedRecords(0, "", List.of(), RelayedRecords.NO_STATE, "");
		}
		SiteState state = this.registry.state();
		Optional<RecentRecords.Run> run = (fromOffset != STATE_REQUESTED)
				? this.registry.recentRecords().find(fromOffset, state.nextOffset(), state.historyHash())
				: Optional.empty();
		return run
			.map((found) -> new RelayedRecords(fromOffset, found.hashBefore(), bounded(found.records(), limit),
					RelayedRecords.NO_STATE, ""))
			.orElseGet(() -> whole(state));
	}

	/**
	 * Applies what a peer sent.
	 * @param relayed the records or the state
	 * @return what came of it
	 */
	public ApplyResult apply(RelayedRecords relayed) {
		return (relayed.hasState()) ? applyState(relayed.state()) : applyRecords(relayed);
	}

	private ApplyResult applyState(String text) {
		try {
			SiteState state = SiteRecordCodec.decodeState(text);
			if (this.registry.advance(state)) {
				return ApplyResult.ADVANCED;
			}
			if (state.position().aheadOf(this.registry.position())) {
				LOG.warn("A peer's version {} lacks notes that are in force here", state.version().number());
				this.refusedHistoryHash = state.historyHash();
			}
		}
		catch (InvalidNoteException ex) {
			LOG.warn("A peer sent a state that can't be read", ex);
		}
		return ApplyResult.UNCHANGED;
	}

	private ApplyResult applyRecords(RelayedRecords relayed) {
		if (!this.registry.hasState()) {
			return (relayed.records().isEmpty()) ? ApplyResult.UNCHANGED : ApplyResult.STATE_NEEDED;
		}
		SiteState start = this.registry.state();
		String hash = relayed.fromHash();
		long offset = relayed.fromOffset();
		List<LogRecord> later = new ArrayList<>();
		for (LogRecord record : relayed.records()) {
			if (record.offset() >= start.nextOffset()) {
				later.add(record);
			}
			else {
				hash = NoteFold.nextHash(hash, record);
				offset = record.offset() + 1;
			}
		}
		if (later.isEmpty()) {
			return ApplyResult.UNCHANGED;
		}
		if (offset != start.nextOffset() || !hash.equals(start.historyHash())) {
			return ApplyResult.STATE_NEEDED;
		}
		SiteState state = start;
		for (LogRecord record : later) {
			state = this.registry.foldRecord(state, record);
		}
		return ApplyResult.ADVANCED;
	}

	private static RelayedRecords whole(SiteState state) {
		return new RelayedRecords(state.nextOffset(), state.historyHash(), List.of(), state.nextOffset(),
				SiteRecordCodec.encodeState(state));
	}

	private static List<LogRecord> bounded(List<LogRecord> records, int limit) {
		List<LogRecord> bounded = new ArrayList<>();
		int characterCount = 0;
		for (LogRecord record : records) {
			characterCount += record.value().length();
			boolean fits = bounded.size() < limit && characterCount <= MAX_ANSWER_CHARACTER_COUNT;
			if (!fits && !bounded.isEmpty()) {
				break;
			}
			bounded.add(record);
		}
		return bounded;
	}

	/**
	 * Lists what can come of records that a peer sent.
	 */
	public enum ApplyResult {

		/** A later state is in force. */
		ADVANCED,

		/** Nothing was new, or what was sent is refused. */
		UNCHANGED,

		/** The records don't follow on; the peer is to be asked for its state. */
		STATE_NEEDED

	}

}
