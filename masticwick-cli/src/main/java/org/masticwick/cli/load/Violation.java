package org.masticwick.cli.load;

/**
 * Violation of a guarantee that the dispatcher gives to callers.
 *
 * @param type the kind of violation
 * @param ticket the ticket of the job
 * @param detail the observed tasks, results or answers
 */
record Violation(Type type, String ticket, String detail) {

	/**
	 * Kinds of violation.
	 */
	enum Type {

		/** A task was started more than once. */
		STARTED_TWICE,

		/** A task was started although the job was refused as not run. */
		STARTED_AFTER_NOT_RUN,

		/** A result has the wrong task id, kind or digest for its task. */
		WRONG_ANSWER,

		/** A complete answer has fewer or more results than the job has tasks. */
		PARTIAL_ANSWER,

		/** Two submissions under one ticket got contradictory answers. */
		DIFFERENT_ANSWERS,

		/** No worker started a task of a job with a complete answer. */
		NEVER_STARTED

	}

}
