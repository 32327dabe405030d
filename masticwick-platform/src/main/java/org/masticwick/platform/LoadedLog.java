package org.masticwick.platform;

import java.util.List;

import org.masticwick.core.version.LogRecord;
import org.masticwick.core.version.SiteState;

/**
 * Is what the stream of release notes led to when it was read from a start.
 *
 * @param initialState the state that folding started from
 * @param finalState the state at the end
 * @param endOffset the end of the log
 * @param snapshotOffset the offset of the newest snapshot that folding may start from, or
 * -1 if there is none
 * @param foldedRecords the records that were folded
 */
public record LoadedLog(SiteState initialState, SiteState finalState, long endOffset, long snapshotOffset, List<LogRecord> foldedRecords) {

	/**
	 * Copies the records.
	 */
	public LoadedLog {
		foldedRecords = List.copyOf(foldedRecords);
	}

}
