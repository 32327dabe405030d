package org.masticwick.standin.request;

import org.masticwick.standin.connection.HttpResponse;

/**
 * Tells whether a worker starts a task.
 */
public enum StartOutcome {

	/** The task is started. */
	STARTED(200, true, ""),

	/** The task was started before. */
	DUPLICATE(409, true, "duplicate"),

	/** All slots are taken. */
	FULL(503, false, "full"),

	/** The worker is leaving. */
	LEAVING(503, false, "leaving"),

	/** The worker can never run the task. */
	NEVER_FITS(422, false, "never-fits");

	private final int httpStatus;

	private final boolean started;

	private final String reason;

	StartOutcome(int httpStatus, boolean started, String reason) {
		this.httpStatus = httpStatus;
		this.started = started;
		this.reason = reason;
	}

	/**
	 * Returns the answer to the message that got this outcome.
	 * @return the answer
	 */
	public HttpResponse response() {
		return HttpResponse.of(this.httpStatus)
			.withHeader("Task-Started", Boolean.toString(this.started))
			.withHeader("Task-Reason", this.reason);
	}

}
