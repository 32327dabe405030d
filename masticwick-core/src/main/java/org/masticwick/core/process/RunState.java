package org.masticwick.core.process;

/**
 * Tells whether the work that an error is about was run.
 */
public enum RunState {

	/** No task of the work was started, nor will one be. */
	NOT_RUN("no"),

	/** At least one task of the work was started. */
	RAN("yes"),

	/** Whether a task was started can't be known here. */
	UNKNOWN("unknown"),

	/** The error is not about work. */
	NOT_APPLICABLE("not-applicable");

	private final String text;

	RunState(String text) {
		this.text = text;
	}

	/**
	 * Returns the text that stands for this state in answers to callers.
	 * @return the text, lower case
	 */
	public String text() {
		return this.text;
	}

}
