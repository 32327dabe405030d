package org.masticwick.log;

/**
 * Formats of log lines.
 */
public enum LogFormat {

	/** One JSON object per line. */
	JSON,

	/** Human-readable text. */
	TEXT

}
