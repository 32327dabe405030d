package org.masticwick.log;

/**
 * Names the forms of a log line.
 */
public enum LogFormat {

	/** One JSON object a line. */
	JSON,

	/** Text for people. */
	TEXT

}
