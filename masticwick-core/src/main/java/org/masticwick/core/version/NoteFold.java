package org.masticwick.core.version;

/**
 * Folds records of the log into a state. The result is a function of the records alone.
 */
public final class NoteFold {

	private NoteFold() {
	}

	/**
	 * Folds the next record.
	 * @param state the state at the offset of the record
	 * @param record the record
	 * @return the state after the record
	 * @throws IllegalArgumentException if the record is not the next one
	 */
	public static SiteState fold(SiteState state, LogRecord record) {
		if (record.offset() != state.nextOffset()) {
			throw new IllegalArgumentException(
					"Expected the record at offset " + state.nextOffset() + ", not " + record.offset());
		}
		SiteRecord siteRecord = SiteRecordCodec.decode(record.value());
		return apply(state, siteRecord).at(record.offset() + 1, nextHash(state.historyHash(), record));
	}

	/**
	 * Folds records one after the other.
	 * @param state the state at the offset of the first record
	 * @param records the records in the order of the log
	 * @return the state after the last record
	 * @throws IllegalArgumentException if a record is not the next one
	 */
	public static SiteState fold(SiteState state, Iterable<LogRecord> records) {
		SiteState next = state;
		for (LogRecord record : records) {
			next = fold(next, record);
		}
		return next;
	}

	/**
	 * Returns the hash of a history that is longer by one record.
	 * @param hash the hash of the history before the record
	 * @param record the record
	 * @return the hash after the record
	 */
	public static String nextHash(String hash, LogRecord record) {
		return Digests.of(hash, record.value());
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
