package org.masticwick.core.process;

/**
 * The errors that callers and operators can get.
 */
public enum ErrorCode {

	/** The request is malformed. */
	MALFORMED_REQUEST("malformed-request", 400, RunState.NOT_RUN, false),

	/** The request has a field that is missing or out of bounds. */
	INVALID_REQUEST("invalid-request", 422, RunState.NOT_RUN, false),

	/** The request or one of its parts is larger than the settings allow. */
	REQUEST_TOO_LARGE("request-too-large", 413, RunState.NOT_RUN, false),

	/** The request line or the headers are larger than the settings allow. */
	HEADERS_TOO_LARGE("headers-too-large", 431, RunState.NOT_RUN, false),

	/** The request did not arrive completely within the time limit. */
	REQUEST_TIMEOUT("request-timeout", 408, RunState.NOT_RUN, true),

	/** The path does not exist. */
	NOT_FOUND("not-found", 404, RunState.NOT_APPLICABLE, false),

	/** The path does not support this method. */
	METHOD_NOT_ALLOWED("method-not-allowed", 405, RunState.NOT_APPLICABLE, false),

	/** The text is not a ticket, or its integrity check fails. */
	INVALID_TICKET("invalid-ticket", 400, RunState.NOT_RUN, false),

	/**
	 * No job has been submitted with the ticket; a submission may still be in transit.
	 */
	TICKET_UNUSED("ticket-unused", 404, RunState.NOT_APPLICABLE, false),

	/** A job with a different body was submitted with the same ticket. */
	TICKET_REUSED("ticket-reused", 409, RunState.NOT_RUN, false),

	/** The ticket has expired, and the outcome of its job is no longer stored. */
	OUTCOME_FORGOTTEN("outcome-forgotten", 410, RunState.UNKNOWN, false),

	/**
	 * Neither the issuer of the ticket nor a host that could collect the job is
	 * reachable.
	 */
	OUTCOME_UNKNOWN("outcome-unknown", 504, RunState.UNKNOWN, true),

	/** The active version has no such service. */
	UNKNOWN_SERVICE("unknown-service", 422, RunState.NOT_RUN, false),

	/** No endpoint has the capacity to run the job, even if it were idle. */
	NEVER_FITS("never-fits", 422, RunState.NOT_RUN, false),

	/** The queue is full. */
	OVERLOADED("overloaded", 503, RunState.NOT_RUN, true),

	/** The job is expected to finish after its deadline. */
	DEADLINE_UNREACHABLE("deadline-unreachable", 503, RunState.NOT_RUN, true),

	/** The deadline passed before any task was started. */
	DEADLINE_PASSED("deadline-passed", 503, RunState.NOT_RUN, true),

	/** The team has used up its quota. */
	QUOTA_EXCEEDED("quota-exceeded", 429, RunState.NOT_RUN, true),

	/** The host is shutting down. */
	DRAINING("draining", 503, RunState.NOT_RUN, true),

	/** The host has no version of the site yet. */
	NO_VERSION("no-version", 503, RunState.NOT_RUN, true),

	/** The service has no endpoint that accepts work at present. */
	NO_ENDPOINT("no-endpoint", 503, RunState.NOT_RUN, true),

	/** The job was cancelled before any task was started. */
	CANCELLED_NOT_RUN("cancelled", 409, RunState.NOT_RUN, false),

	/** The job was cancelled after a task was started. */
	CANCELLED("cancelled-after-start", 502, RunState.RAN, false),

	/** A task of the job failed, or its outcome can't be determined. */
	JOB_FAILED("job-failed", 502, RunState.RAN, false),

	/** The issuer of the ticket was lost before every task had been started. */
	HOME_LOST("home-lost", 502, RunState.UNKNOWN, false),

	/** The job was aborted by a shutdown that reached its own deadline. */
	STOPPED("stopped", 502, RunState.RAN, false),

	/** The settings are invalid. */
	INVALID_SETTINGS("invalid-settings", 500, RunState.NOT_APPLICABLE, false),

	/** The release note is invalid. */
	INVALID_NOTE("invalid-note", 422, RunState.NOT_APPLICABLE, false),

	/**
	 * The release note conflicts with a note that was accepted after its base version.
	 */
	NOTE_CONFLICT("note-conflict", 409, RunState.NOT_APPLICABLE, false),

	/** The platform does not answer. */
	PLATFORM_UNAVAILABLE("platform-unavailable", 503, RunState.NOT_APPLICABLE, true),

	/** The requested log records have expired. */
	RECORDS_EXPIRED("records-expired", 410, RunState.NOT_APPLICABLE, false),

	/** A peer does not answer. */
	PEER_UNAVAILABLE("peer-unavailable", 503, RunState.UNKNOWN, true),

	/** A message between hosts is malformed. */
	MALFORMED_MESSAGE("malformed-message", 400, RunState.NOT_APPLICABLE, false),

	/** An endpoint violated the protocol. */
	ENDPOINT_PROTOCOL("endpoint-protocol", 502, RunState.UNKNOWN, false),

	/** The process can't start, since a resource that it needs is in use. */
	START_FAILED("start-failed", 500, RunState.NOT_APPLICABLE, false),

	/** Internal error: a fault in the program itself. */
	INTERNAL("internal", 500, RunState.UNKNOWN, false);

	private final String code;

	private final int httpStatus;

	private final RunState runState;

	private final boolean retryable;

	ErrorCode(String code, int httpStatus, RunState runState, boolean retryable) {
		this.code = code;
		this.httpStatus = httpStatus;
		this.runState = runState;
		this.retryable = retryable;
	}

	/**
	 * Returns the text of the code, as callers and operators see it.
	 * @return the code, lower case with hyphens
	 */
	public String code() {
		return this.code;
	}

	/**
	 * Returns the HTTP status of responses with this code.
	 * @return the status
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns whether tasks of the request were run when this error is reported.
	 * @return the state
	 */
	public RunState runState() {
		return this.runState;
	}

	/**
	 * Returns whether the same request may succeed if it is retried later.
	 * @return {@code true} if a retry may succeed
	 */
	public boolean retryable() {
		return this.retryable;
	}

}
