package org.masticwick.fleet.connection;

/**
 * Names the topics of the shared log that keep the newest record of each key.
 */
public enum SharedTopic {

	/** What operators publish. */
	OPERATORS,

	/** What endpoints say of themselves. */
	ENDPOINTS,

	/** Entry hosts and the ownership of pools. */
	MEMBERS

}
