package org.masticwick.cli.load;

/**
 * Tells that a promise was broken.
 *
 * @param type which promise
 * @param ticket the ticket of the job
 * @param detail what was seen
 */
record Violation(Type type, String ticket, String detail) {

	/**
	 * Names the promises that are checked.
	 */
	enum Type {

		/** A task was started more than once. */
		STARTED_TWICE,

		/** A task was started although the job was said not to have run. */
		STARTED_AFTER_NOT_RUN,

		/** A result does not belong to its task. */
		WRONG_ANSWER,

		/** A complete answer has fewer or more results than the job has tasks. */
		PARTIAL_ANSWER,

		/** Two submissions under one ticket got different answers. */
		DIFFERENT_ANSWERS,

		/** A task of a complete answer was started by no worker. */
		NEVER_STARTED

	}

}
