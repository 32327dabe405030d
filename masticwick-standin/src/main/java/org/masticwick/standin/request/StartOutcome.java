package org.masticwick.standin.request;

import org.masticwick.standin.connection.HttpResponse;

/**
 * Outcome of a request to start a task on a worker.
 */
public enum StartOutcome {

	/** The task is started. */
	STARTED(200, true, ""),

	/** The worker already holds a task of this id, running or terminated. */
	DUPLICATE(409, true, "duplicate"),

	/** All slots are in use. */
	FULL(503, false, "full"),

	/** The worker is leaving and accepts no new tasks. */
	LEAVING(503, false, "leaving"),

	/**
	 * The worker can never run the task: it belongs to another service or its payload is
	 * too large.
	 */
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
	 * Returns the response to a start request with this outcome. A worker sends it for
	 * refusals and duplicates; a started task gets its response when it terminates.
	 * @return the response
	 */
	public HttpResponse response() {
		return HttpResponse.of(this.httpStatus)
			.withHeader("Task-Started", Boolean.toString(this.started))
			.withHeader("Task-Reason", this.reason);
	}

}
