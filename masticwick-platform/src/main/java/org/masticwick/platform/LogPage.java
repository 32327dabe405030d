package org.masticwick.platform;

import java.util.List;

import org.masticwick.core.version.LogRecord;

/**
 * A page of records read from a stream of the log.
 *
 * @param beginOffset the offset of the first record that has not expired
 * @param endOffset the offset after the last record of the stream
 * @param records the records, in the order of their offsets
 */
public record LogPage(long beginOffset, long endOffset, List<LogRecord> records) {

	/**
	 * Copies the records.
	 */
	public LogPage {
		records = List.copyOf(records);
	}

}
