package org.masticwick.platform;

import java.util.List;

import org.masticwick.core.version.LogRecord;
import org.masticwick.core.version.SiteState;

/**
 * The result of folding the stream of release notes.
 *
 * @param initialState the state from which folding started
 * @param finalState the state after the last record
 * @param endOffset the offset after the last record of the stream
 * @param snapshotOffset the offset of the latest snapshot from which folding can start,
 * or -1 if there is none
 * @param foldedRecords the records that were folded
 */
public record LoadedLog(SiteState initialState, SiteState finalState, long endOffset, long snapshotOffset,
		List<LogRecord> foldedRecords) {

	/**
	 * Copies the records.
	 */
	public LoadedLog {
		foldedRecords = List.copyOf(foldedRecords);
	}

}
