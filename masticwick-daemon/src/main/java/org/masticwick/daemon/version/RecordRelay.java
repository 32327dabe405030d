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
 * Relays release notes between peers, so that a host that can't reach the log stays up to
 * date as long as it reaches a peer that can.
 */
public final class RecordRelay {

	/** Value sent in place of an offset to request the state instead of records. */
	public static final long STATE_REQUESTED = -1;

	private static final Logger LOG = LoggerFactory.getLogger(RecordRelay.class);

	private static final int MAX_ANSWER_CHARACTER_COUNT = 262_144;

	private final VersionRegistry registry;

	private volatile String rejectedHistoryHash = "";

	/**
	 * Creates a relay.
	 * @param registry holds the active state and the records to relay
	 */
	public RecordRelay(VersionRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Returns whether a peer has records or a state that this host lacks. A state that
	 * was rejected is not fetched again: it lacks release notes that are active here, and
	 * only the log can reconcile the two histories.
	 * @param peer the position in the log that the peer reported in its heartbeat
	 * @return {@code true} if the peer is ahead and its state was not rejected
	 */
	public boolean shouldFetchFrom(HistoryPosition peer) {
		return peer.aheadOf(this.registry.position()) && !peer.historyHash().equals(this.rejectedHistoryHash);
	}

	/**
	 * Returns the offset to request from a peer.
	 * @return the offset of the next record, or {@link #STATE_REQUESTED} while this host
	 * has no state
	 */
	public long fetchOffset() {
		return (this.registry.hasState()) ? this.registry.nextOffset() : STATE_REQUESTED;
	}

	/**
	 * Answers a peer's request for records or for the state.
	 * @param fromOffset the offset of the first requested record, or
	 * {@link #STATE_REQUESTED}
	 * @param limit the maximum number of records in the answer
	 * @return records from the offset on, cut to the limit and to a size of one answer;
	 * the active state if the records aren't buffered; neither while this host has no
	 * state
	 */
	public RelayedRecords answerFetch(long fromOffset, int limit) {
		if (!this.registry.hasState()) {
			return new RelayedRecords(0, "", List.of(), RelayedRecords.NO_STATE, "");
		}
		SiteState state = this.registry.state();
		Optional<RecentRecords.RecordSequence> sequence = (fromOffset != STATE_REQUESTED)
				? this.registry.recentRecords().find(fromOffset, state.nextOffset(), state.historyHash())
				: Optional.empty();
		return sequence
			.map((found) -> new RelayedRecords(fromOffset, found.hashBefore(), limitRecords(found.records(), limit),
					RelayedRecords.NO_STATE, ""))
			.orElseGet(() -> completeState(state));
	}

	/**
	 * Applies the records or the state that a peer sent.
	 * @param relayed the answer of the peer
	 * @return whether the active state advanced, and whether the peer's state must be
	 * requested
	 */
	public ApplyResult apply(RelayedRecords relayed) {
		return (relayed.hasState()) ? applyState(relayed.state()) : applyRecords(relayed);
	}

	private ApplyResult applyState(String encodedState) {
		try {
			SiteState state = SiteRecordCodec.decodeState(encodedState);
			if (this.registry.advance(state)) {
				return ApplyResult.ADVANCED;
			}
			if (state.position().aheadOf(this.registry.position())) {
				LOG.warn(
						"Rejected the state of a peer: its version {} lacks release notes that are active on this host",
						state.version().number());
				this.rejectedHistoryHash = state.historyHash();
			}
		}
		catch (InvalidNoteException ex) {
			LOG.warn("Ignored the state of a peer because it could not be decoded", ex);
		}
		return ApplyResult.UNCHANGED;
	}

	private ApplyResult applyRecords(RelayedRecords relayed) {
		if (!this.registry.hasState()) {
			return (relayed.records().isEmpty()) ? ApplyResult.UNCHANGED : ApplyResult.STATE_NEEDED;
		}
		SiteState activeState = this.registry.state();
		String precedingHash = relayed.fromHash();
		long precedingEndOffset = relayed.fromOffset();
		List<LogRecord> newRecords = new ArrayList<>();
		for (LogRecord record : relayed.records()) {
			if (record.offset() >= activeState.nextOffset()) {
				newRecords.add(record);
			}
			else {
				precedingHash = NoteFold.nextHash(precedingHash, record);
				precedingEndOffset = record.offset() + 1;
			}
		}
		if (newRecords.isEmpty()) {
			return ApplyResult.UNCHANGED;
		}
		if (precedingEndOffset != activeState.nextOffset() || !precedingHash.equals(activeState.historyHash())) {
			return ApplyResult.STATE_NEEDED;
		}
		SiteState state = activeState;
		for (LogRecord record : newRecords) {
			state = this.registry.foldRecord(state, record);
		}
		return ApplyResult.ADVANCED;
	}

	private static RelayedRecords completeState(SiteState state) {
		return new RelayedRecords(state.nextOffset(), state.historyHash(), List.of(), state.nextOffset(),
				SiteRecordCodec.encodeState(state));
	}

	private static List<LogRecord> limitRecords(List<LogRecord> records, int limit) {
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
	 * Result of applying the answer of a peer.
	 */
	public enum ApplyResult {

		/** The active state has advanced. */
		ADVANCED,

		/** The answer contained no newer records or state, or was rejected. */
		UNCHANGED,

		/**
		 * The records don't continue the history of this host, or it has no state yet;
		 * the state of the peer must be requested.
		 */
		STATE_NEEDED

	}

}
