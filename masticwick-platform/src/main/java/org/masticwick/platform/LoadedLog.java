package org.masticwick.platform;

import java.util.List;

import org.masticwick.core.version.LogRecord;
import org.masticwick.core.version.SiteState;

/**
 * Is what the stream of release notes led to when it was read from a start.
 *
 * @param start the state that folding started from
 * @param state the state at the end
 * @param endOffset the end of the log
 * @param snapshotOffset the offset of the newest snapshot that folding may start from, or
 * -1 if there is none
 * @param tail the records that were folded
 */
public record LoadedLog(SiteState start, SiteState state, long endOffset, long snapshotOffset, List<LogRecord> tail) {

	/**
	 * Copies the records.
	 */
	public LoadedLog {
		tail = List.copyOf(tail);
	}

}
