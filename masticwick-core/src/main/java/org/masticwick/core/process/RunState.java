package org.masticwick.core.process;

/**
 * Whether tasks of the request that an error refers to were run.
 */
public enum RunState {

	/** No task of the request was started, and none will be. */
	NOT_RUN("no"),

	/** At least one task of the request was started. */
	RAN("yes"),

	/** The host can't determine whether a task was started. */
	UNKNOWN("unknown"),

	/** The error does not refer to tasks. */
	NOT_APPLICABLE("not-applicable");

	private final String text;

	RunState(String text) {
		this.text = text;
	}

	/**
	 * Returns the text of this state in responses to callers.
	 * @return the text, lower case
	 */
	public String text() {
		return this.text;
	}

}
