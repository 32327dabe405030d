package org.masticwick.daemon.version;

import java.util.List;

import org.masticwick.core.version.LogRecord;

/**
 * Is what a host sends to a peer that is behind: records of the log, or a state if the
 * records are not at hand.
 *
 * @param fromOffset the offset of the first record, also if there are none
 * @param fromHash the hash of the history before that offset
 * @param records the records, in order
 * @param stateOffset the offset of the state, or {@value #NO_STATE} if there is none
 * @param state the text of the state; empty if there is none
 */
public record RelayedRecords(long fromOffset, String fromHash, List<LogRecord> records, long stateOffset,
		String state) {

	/** Stands for the offset of a state that is not there. */
	public static final long NO_STATE = -1;

	/**
	 * Copies the records.
	 */
	public RelayedRecords {
		records = List.copyOf(records);
	}

	/**
	 * Tells whether a state is there.
	 * @return {@code true} if it is
	 */
	public boolean hasState() {
		return this.stateOffset != NO_STATE;
	}

}
