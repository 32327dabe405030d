package org.masticwick.daemon.request;

/**
 * Lists the states of a task of a job.
 */
public enum TaskState {

	/** The task was not started. */
	NOT_STARTED("not-started"),

	/** The task was started, or may have been, and its run has not terminated. */
	STARTED("started"),

	/** The run terminated with a result. */
	SUCCEEDED("succeeded"),

	/** The run terminated without a result. */
	FAILED("failed"),

	/** The outcome of the task can't be determined; it may have run. */
	UNKNOWN("unknown");

	private final String text;

	TaskState(String text) {
		this.text = text;
	}

	/**
	 * Returns the text of this state in answers to callers.
	 * @return the text
	 */
	public String text() {
		return this.text;
	}

}
