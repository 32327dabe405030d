package org.masticwick.daemon.request;

/**
 * Tells how far a task has come.
 */
public enum TaskState {

	/** The task was not started. */
	NOT_STARTED("not-started"),

	/** The task was started, or may have been, and has not ended. */
	STARTED("started"),

	/** The task ended with a result. */
	SUCCEEDED("succeeded"),

	/** The task ended without a result. */
	FAILED("failed"),

	/** What became of the task can't be known. */
	UNKNOWN("unknown");

	private final String text;

	TaskState(String text) {
		this.text = text;
	}

	/**
	 * Returns the text that stands for this state in answers to callers.
	 * @return the text
	 */
	public String text() {
		return this.text;
	}

}
