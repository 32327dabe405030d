package org.masticwick.platform;

import java.util.List;

import org.masticwick.core.version.LogRecord;
import org.masticwick.core.version.SiteState;

/**
 * Is what the stream of release notes led to when it was read from a start.
 *
 * @param state the state at the end
 * @param endOffset the end of the log
 * @param snapshotOffset the offset of the newest snapshot, or -1 if there is none
 * @param tail the last records that were read
 */
public record LoadedLog(SiteState state, long endOffset, long snapshotOffset, List<LogRecord> tail) {

	/**
	 * Copies the records.
	 */
	public LoadedLog {
		tail = List.copyOf(tail);
	}

}
