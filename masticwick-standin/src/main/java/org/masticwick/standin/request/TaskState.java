package org.masticwick.standin.request;

import java.util.Locale;

/**
 * State of a task on a worker.
 */
public enum TaskState {

	/** The task is running and holds a slot. */
	RUNNING,

	/** The task has a result. */
	FINISHED,

	/** The task failed, or was still running when its lease expired. */
	FAILED,

	/** The task was cancelled while running. */
	CANCELLED;

	/**
	 * Returns the state as the value of the headers {@code Task-State} and
	 * {@code Task-Reason}.
	 * @return the name of the constant in lower case
	 */
	public String text() {
		return name().toLowerCase(Locale.ROOT);
	}

}
