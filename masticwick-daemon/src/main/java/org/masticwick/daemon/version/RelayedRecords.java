package org.masticwick.daemon.version;

import java.util.List;

import org.masticwick.core.version.LogRecord;

/**
 * Answer of a host to a peer that has read less of the log: records, or a state if the
 * records aren't buffered.
 *
 * @param fromOffset the offset of the first record; set also if there are no records
 * @param fromHash the hash of the history before that offset
 * @param records the records, in order
 * @param stateOffset the offset of the first record that the state doesn't include, or
 * {@value #NO_STATE} if the answer has no state
 * @param state the encoded state; empty if the answer has none
 */
public record RelayedRecords(long fromOffset, String fromHash, List<LogRecord> records, long stateOffset,
		String state) {

	/** The value of {@code stateOffset} in an answer without a state. */
	public static final long NO_STATE = -1;

	/**
	 * Makes an immutable copy of the list of records.
	 */
	public RelayedRecords {
		records = List.copyOf(records);
	}

	/**
	 * Returns whether the answer has a state.
	 * @return {@code true} if it has one
	 */
	public boolean hasState() {
		return this.stateOffset != NO_STATE;
	}

}
