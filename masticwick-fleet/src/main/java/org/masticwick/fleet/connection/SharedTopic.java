package org.masticwick.fleet.connection;

/**
 * The topics of the log that all entry hosts share. They are compacted: the log keeps the
 * latest record of each key.
 */
public enum SharedTopic {

	/** Versions published by operators. */
	OPERATORS,

	/** Entries in which endpoints describe themselves. */
	ENDPOINTS,

	/** The entry hosts and their claims to pools. */
	MEMBERS

}
