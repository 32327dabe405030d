package org.masticwick.standin.request;

import java.util.Locale;

/**
 * Tells how far a task is on a worker.
 */
public enum TaskState {

	/** The task runs and holds a slot. */
	RUNNING,

	/** The task has a result. */
	FINISHED,

	/** The task ran and failed. */
	FAILED,

	/** The task was cancelled while it ran. */
	CANCELLED;

	/**
	 * Returns the value of the header {@code Task-State}.
	 * @return the name, lower case
	 */
	public String text() {
		return name().toLowerCase(Locale.ROOT);
	}

}
