package org.masticwick.core.version;

/**
 * Replays records of the log on a state, as a left fold. The result is a function of the
 * initial state and the records alone, so hosts that read the same records hold the same
 * state.
 */
public final class NoteFold {

	private NoteFold() {
	}

	/**
	 * Applies the next record of the log to a state.
	 * @param state the state at the offset of the record
	 * @param record the record
	 * @return the state after the record
	 * @throws IllegalArgumentException if the offset of the record is not the next offset
	 * of the state
	 */
	public static SiteState fold(SiteState state, LogRecord record) {
		if (record.offset() != state.nextOffset()) {
			throw new IllegalArgumentException(
					"Expected the record at offset " + state.nextOffset() + ", not " + record.offset());
		}
		SiteRecord siteRecord = SiteRecordCodec.decode(record.value());
		return apply(state, siteRecord).withPosition(record.offset() + 1, nextHash(state.historyHash(), record));
	}

	/**
	 * Applies consecutive records of the log to a state.
	 * @param state the state at the offset of the first record
	 * @param records the records in the order of the log
	 * @return the state after the last record
	 * @throws IllegalArgumentException if the offset of a record is not the next offset
	 * of the state before it
	 */
	public static SiteState fold(SiteState state, Iterable<LogRecord> records) {
		SiteState next = state;
		for (LogRecord record : records) {
			next = fold(next, record);
		}
		return next;
	}

	/**
	 * Extends the hash chain over the log by one record.
	 * @param previousHash the hash over all records before this one
	 * @param record the record
	 * @return the hash over all records up to and with this one
	 */
	public static String nextHash(String previousHash, LogRecord record) {
		return Digests.of(previousHash, record.value());
	}

	private static SiteState apply(SiteState state, SiteRecord siteRecord) {
		if (siteRecord instanceof SiteRecord.NoteRecord noteRecord) {
			return Acceptance.decide(state, noteRecord.note());
		}
		if (siteRecord instanceof SiteRecord.SnapshotRecord snapshotRecord) {
			return StateMerge.merge(state, snapshotRecord.state());
		}
		return state;
	}

}
